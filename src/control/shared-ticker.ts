import { type CancelTimer, type Clock, type Component, repeat } from '../core';

/**
 * One timer for the logs of all groups of a host, so that messages that they send to the same peer
 * in one tick are batched.
 */
export class SharedTicker implements Component {
  readonly #clock: Clock;
  readonly #milliseconds: number;
  readonly #actions = new Set<() => void>();
  #cancel: CancelTimer = () => undefined;

  constructor(clock: Clock, milliseconds: number) {
    this.#clock = clock;
    this.#milliseconds = milliseconds;
  }

  start(): void {
    this.#cancel = repeat(this.#clock, this.#milliseconds, () => {
      for (const action of this.#actions) action();
    });
  }

  stop(): void {
    this.#cancel();
  }

  /** Runs `action` at every tick until cancelled. */
  every(action: () => void): CancelTimer {
    this.#actions.add(action);
    return () => {
      this.#actions.delete(action);
    };
  }
}

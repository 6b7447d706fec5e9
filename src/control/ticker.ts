import { type CancelTimer, type Clock, type Component, repeat } from '../core';

/**
 * Calls everyone in turn at the same moments, so that what the groups of a host send to another
 * host at one of them travels as one message.
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

  /** Calls `action` at every tick until cancelled. */
  every(action: () => void): CancelTimer {
    this.#actions.add(action);
    return () => {
      this.#actions.delete(action);
    };
  }
}

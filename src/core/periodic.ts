import { type CancelTimer, type Clock, repeat } from './clock';
import type { Component } from './life-cycle';

/** Runs `action` every `milliseconds` from its start to its stop. */
export class PeriodicTask implements Component {
  readonly #clock: Clock;
  readonly #milliseconds: number;
  readonly #action: () => Promise<void> | void;
  #cancel: CancelTimer = () => undefined;

  constructor(clock: Clock, milliseconds: number, action: () => Promise<void> | void) {
    this.#clock = clock;
    this.#milliseconds = milliseconds;
    this.#action = action;
  }

  start(): void {
    this.#cancel = repeat(this.#clock, this.#milliseconds, this.#action);
  }

  stop(): void {
    this.#cancel();
  }
}

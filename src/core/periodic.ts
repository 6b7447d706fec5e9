import { type CancelTimer, type Clock, repeat } from './clock';
import type { Component } from './life-cycle';

/** Runs `action` between start and stop, each time `intervalMilliseconds` after the previous run. */
export class PeriodicTask implements Component {
  readonly #clock: Clock;
  readonly #intervalMilliseconds: number;
  readonly #action: () => Promise<void> | void;
  #cancel: CancelTimer = () => undefined;

  constructor(clock: Clock, intervalMilliseconds: number, action: () => Promise<void> | void) {
    this.#clock = clock;
    this.#intervalMilliseconds = intervalMilliseconds;
    this.#action = action;
  }

  start(): void {
    this.#cancel = repeat(this.#clock, this.#intervalMilliseconds, this.#action);
  }

  stop(): void {
    this.#cancel();
  }
}

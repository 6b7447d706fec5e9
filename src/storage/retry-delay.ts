import type { Clock } from '../core';

/** Time in service after which the next failure counts as the first. */
const SETTLED_MILLISECONDS = 60_000;

export interface RetryDelayOptions {
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly firstMilliseconds?: number;
  readonly longestMilliseconds: number;
}

/** Delays before attempts to bring a component back into service; they double while it fails again. */
export class RetryDelay {
  readonly #options: RetryDelayOptions;
  #milliseconds = 0;
  #calledAt = -Infinity;

  constructor(options: RetryDelayOptions) {
    this.#options = options;
  }

  /** Delay before the next attempt; milliseconds. */
  next(): number {
    const { clock, firstMilliseconds = 1000, longestMilliseconds } = this.#options;
    const now = clock.monotonic();
    const isFirst = now - this.#calledAt > SETTLED_MILLISECONDS;
    this.#calledAt = now;
    this.#milliseconds = isFirst
      ? firstMilliseconds
      : Math.min(this.#milliseconds * 2, longestMilliseconds);
    return this.#milliseconds;
  }
}

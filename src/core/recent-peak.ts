import type { Clock } from './clock';

export interface RecentPeakOptions {
  readonly clock: Clock;
  readonly windowMilliseconds: number;
}

/**
 * The highest value of a level within a recent window. It covers at least one window and less than
 * two, so that it needs to store two values only.
 */
export class RecentPeak {
  readonly #options: RecentPeakOptions;
  #level = 0;
  #windowStart: number;
  #windowPeak = 0;
  #previousWindowPeak = 0;

  constructor(options: RecentPeakOptions) {
    this.#options = options;
    this.#windowStart = options.clock.monotonic();
  }

  get value(): number {
    this.#startDueWindow();
    return Math.max(this.#windowPeak, this.#previousWindowPeak);
  }

  /** Records a change of the level. */
  record(level: number): void {
    this.#startDueWindow();
    this.#level = level;
    this.#windowPeak = Math.max(this.#windowPeak, level);
  }

  #startDueWindow(): void {
    const { clock, windowMilliseconds } = this.#options;
    const now = clock.monotonic();
    const elapsed = now - this.#windowStart;
    if (elapsed < windowMilliseconds) return;
    // After two windows without a change, only the present level lies within the last one.
    this.#previousWindowPeak = elapsed < windowMilliseconds * 2 ? this.#windowPeak : this.#level;
    this.#windowPeak = this.#level;
    this.#windowStart = now;
  }
}

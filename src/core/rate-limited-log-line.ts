import type { Clock } from './clock';
import type { Logger } from './log';

export interface RateLimitedLogLineOptions {
  readonly event: string;
  /** Minimum time between two lines. */
  readonly intervalMilliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Writes a repeated log line at most once per interval. Lines within the interval are counted, and the
 * next one that is written has their number in `leftOut`.
 */
export class RateLimitedLogLine {
  readonly #options: RateLimitedLogLineOptions;
  #lastWrittenAt = -Infinity;
  #suppressedCount = 0;

  constructor(options: RateLimitedLogLineOptions) {
    this.#options = options;
  }

  write(fields: Readonly<Record<string, unknown>>): void {
    const { event, intervalMilliseconds: milliseconds, clock, logger } = this.#options;
    const now = clock.monotonic();
    if (now - this.#lastWrittenAt < milliseconds) {
      this.#suppressedCount += 1;
      return;
    }
    logger.info({ event, ...fields, leftOut: this.#suppressedCount });
    this.#lastWrittenAt = now;
    this.#suppressedCount = 0;
  }
}

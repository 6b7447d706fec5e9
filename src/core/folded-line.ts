import type { Clock } from './clock';
import type { Logger } from './log';

export interface FoldedLineOptions {
  readonly event: string;
  /** Minimum time between two lines. */
  readonly milliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Writes a repeated log line at most once per interval. Lines within the interval are counted, and the
 * next one that is written has their number in `leftOut`.
 */
export class FoldedLine {
  readonly #options: FoldedLineOptions;
  #lastWrittenAt = -Infinity;
  #suppressedCount = 0;

  constructor(options: FoldedLineOptions) {
    this.#options = options;
  }

  note(fields: Readonly<Record<string, unknown>>): void {
    const { event, milliseconds, clock, logger } = this.#options;
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

import type { Clock } from './clock';
import type { Logger } from './log';

export interface FoldedLineOptions {
  readonly event: string;
  /** Shortest time between two lines; milliseconds. */
  readonly milliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * A line of the log that would come for each of many tries. The first is written at once; those that
 * follow too soon are counted, and the next one that is written says how many were left out. Purpose: a
 * host that was cut off for four seconds wrote 191 equal lines, which bury the others.
 */
export class FoldedLine {
  readonly #options: FoldedLineOptions;
  #writtenAt = -Infinity;
  #leftOut = 0;

  constructor(options: FoldedLineOptions) {
    this.#options = options;
  }

  note(fields: Readonly<Record<string, unknown>>): void {
    const { event, milliseconds, clock, logger } = this.#options;
    const now = clock.monotonic();
    if (now - this.#writtenAt < milliseconds) {
      this.#leftOut += 1;
      return;
    }
    logger.info({ event, ...fields, leftOut: this.#leftOut });
    this.#writtenAt = now;
    this.#leftOut = 0;
  }
}

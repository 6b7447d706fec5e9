import { type Histogram, build } from 'hdr-histogram-js';

const MAX_TRACKABLE_MICROSECONDS = 60_000_000;

export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKABLE_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  /** Records one duration in milliseconds. */
  record(milliseconds: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(milliseconds * 1000)));
  }

  /** Returns a percentile (0 to 100) in milliseconds. */
  percentile(percentile: number): number {
    return roundToThousandths(this.#histogram.getValueAtPercentile(percentile) / 1000);
  }
}

export function roundToThousandths(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Writes a value as one JSON line to standard output. */
export function printLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Calls `work` `count` times, with at most `concurrency` calls pending. */
export async function runConcurrently(
  count: number,
  concurrency: number,
  work: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  const worker = async () => {
    while (next < count) {
      const index = next;
      next += 1;
      await work(index);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
}

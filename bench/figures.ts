import { type Histogram, build } from 'hdr-histogram-js';

const HIGHEST_MICROSECONDS = 60_000_000;

/** Latencies of one kind of call. */
export class Latencies {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds one duration in milliseconds. */
  add(milliseconds: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(milliseconds * 1000)));
  }

  /** A percentile in milliseconds. */
  at(percentile: number): number {
    return round(this.#histogram.getValueAtPercentile(percentile) / 1000);
  }
}

/** Rounds to three decimals. */
export function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Prints one result as one JSON line. */
export function printLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Runs `count` pieces of work, `atOnce` at a time. */
export async function runAtOnce(
  count: number,
  atOnce: number,
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
  await Promise.all(Array.from({ length: atOnce }, worker));
}

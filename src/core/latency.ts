import { type Histogram, build } from 'hdr-histogram-js';
import type { LatencyRecorder } from './metrics';

/** Highest latency told apart, in microseconds: ten minutes. */
const HIGHEST_MICROSECONDS = 600_000_000;

const QUANTILES = [50, 95, 99] as const;

/**
 * Latency histograms for `/metrics`. They stand apart from the other metrics because their library
 * takes 10 MB of resident memory, which a sidecar does not have.
 */
export class LatencyHistograms implements LatencyRecorder {
  readonly #histograms = new Map<string, Histogram>();

  observe(name: string, milliseconds: number): void {
    const microseconds = Math.round(milliseconds * 1000);
    this.#histogram(name).recordValue(Math.min(Math.max(1, microseconds), HIGHEST_MICROSECONDS));
  }

  render(): readonly string[] {
    return [...this.#histograms].flatMap(([name, histogram]) => [
      ...QUANTILES.map((quantile) => {
        const seconds = histogram.getValueAtPercentile(quantile) / 1e6;
        return `martenbay_${name}_seconds{quantile="${quantile / 100}"} ${seconds}`;
      }),
      `martenbay_${name}_seconds_count ${histogram.totalCount}`,
    ]);
  }

  #histogram(name: string): Histogram {
    const existing = this.#histograms.get(name);
    if (existing !== undefined) return existing;
    const created = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MICROSECONDS,
      numberOfSignificantValueDigits: 2,
    });
    this.#histograms.set(name, created);
    return created;
  }
}

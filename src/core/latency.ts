// The class alone: the whole library brings WebAssembly and compression, 11 MB and 60 ms at a start.
import Int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';
import type { LatencyRecorder } from './metrics';

/** Highest latency told apart, in microseconds: ten minutes. */
const HIGHEST_MICROSECONDS = 600_000_000;

const SIGNIFICANT_DIGITS = 2;

const QUANTILES = [50, 95, 99] as const;

/**
 * Latency histograms for `/metrics`. They stand apart from the other metrics, whose counters alone
 * a small process can do with.
 */
export class LatencyHistograms implements LatencyRecorder {
  readonly #histograms = new Map<string, Int32Histogram>();

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

  #histogram(name: string): Int32Histogram {
    const existing = this.#histograms.get(name);
    if (existing !== undefined) return existing;
    const created = new Int32Histogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS);
    this.#histograms.set(name, created);
    return created;
  }
}

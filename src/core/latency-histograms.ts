// Imports one class, as the entry point of the package also loads WebAssembly and compression.
import Int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';
import type { LatencyRecorder } from './metrics';

/** Ten minutes; longer latencies are recorded as this value. */
const MAX_LATENCY_MICROSECONDS = 600_000_000;

const SIGNIFICANT_DIGITS = 2;

const PERCENTILES = [50, 95, 99] as const;

/** Latency histograms for `/metrics`, in a separate module so that processes can omit them. */
export class LatencyHistograms implements LatencyRecorder {
  readonly #histograms = new Map<string, Int32Histogram>();

  observe(name: string, milliseconds: number): void {
    const microseconds = Math.round(milliseconds * 1000);
    this.#histogram(name).recordValue(
      Math.min(Math.max(1, microseconds), MAX_LATENCY_MICROSECONDS),
    );
  }

  render(): readonly string[] {
    return [...this.#histograms].flatMap(([name, histogram]) => [
      ...PERCENTILES.map((percentile) => {
        const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
        return `martenbay_${name}_seconds{quantile="${percentile / 100}"} ${seconds}`;
      }),
      `martenbay_${name}_seconds_count ${histogram.totalCount}`,
    ]);
  }

  #histogram(name: string): Int32Histogram {
    const existing = this.#histograms.get(name);
    if (existing !== undefined) return existing;
    const histogram = new Int32Histogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
    this.#histograms.set(name, histogram);
    return histogram;
  }
}

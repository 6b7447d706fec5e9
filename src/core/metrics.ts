import { type Histogram, build } from 'hdr-histogram-js';

/** Highest latency told apart, in microseconds: ten minutes. */
const HIGHEST_MICROSECONDS = 600_000_000;

const QUANTILES = [50, 95, 99] as const;

/** Counters, gauges and latency histograms of one process, rendered for `/metrics`. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter. The name may carry labels, as in `calls_total{outcome="ok"}`. */
  count(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  /** Registers a value that is read when the metrics are. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number): void {
    const microseconds = Math.min(
      Math.max(1, Math.round(milliseconds * 1000)),
      HIGHEST_MICROSECONDS,
    );
    this.#histogram(name).recordValue(microseconds);
  }

  /** Renders everything in the Prometheus text format, durations in seconds. */
  render(): string {
    const counters = [...this.#counters].map(([name, value]) => `martenbay_${name} ${value}`);
    const gauges = [...this.#gauges].map(([name, read]) => `martenbay_${name} ${read()}`);
    const quantiles = [...this.#histograms].flatMap(([name, histogram]) => [
      ...QUANTILES.map(
        (quantile) =>
          `martenbay_${name}_seconds{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile) / 1e6}`,
      ),
      `martenbay_${name}_seconds_count ${histogram.totalCount}`,
    ]);
    return [...counters, ...gauges, ...quantiles, ''].join('\n');
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

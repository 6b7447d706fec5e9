export interface LatencyRecorder {
  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number): void;
  /** Lines in the Prometheus text format, durations in seconds. */
  render(): readonly string[];
}

/** Counters, gauges and latencies of one process, rendered for `/metrics`. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #latencies: LatencyRecorder | undefined;

  /** Without a recorder, {@link observe} does nothing. */
  constructor(latencies?: LatencyRecorder) {
    this.#latencies = latencies;
  }

  /** Adds to a counter. The name may have labels, as in `calls_total{outcome="ok"}`. */
  count(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  /** Registers a gauge whose value is read on each {@link render}. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number): void {
    this.#latencies?.observe(name, milliseconds);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const counters = [...this.#counters].map(([name, value]) => `martenbay_${name} ${value}`);
    const gauges = [...this.#gauges].map(([name, read]) => `martenbay_${name} ${read()}`);
    return [...counters, ...gauges, ...(this.#latencies?.render() ?? []), ''].join('\n');
  }
}

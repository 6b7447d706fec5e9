/** Samples kept per route; enough for a 98th percentile. */
const SAMPLE_LIMIT = 128;

/** Samples required before a quantile is reported. */
const MINIMUM_SAMPLES = 32;

/** New samples after which the quantile is recomputed. */
const SAMPLES_PER_UPDATE = 16;

interface RouteSamples {
  readonly milliseconds: number[];
  nextIndex: number;
  newSamples: number;
  quantileMilliseconds: number | undefined;
}

/** Quantile of the latency of each route over its latest calls. */
export class LatencyQuantiles {
  readonly #quantile: number;
  readonly #routes = new Map<string, RouteSamples>();

  /** `quantile`: from 0 to 1. */
  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  record(route: string, milliseconds: number): void {
    const samples = this.#routes.get(route) ?? {
      milliseconds: [],
      nextIndex: 0,
      newSamples: 0,
      quantileMilliseconds: undefined,
    };
    this.#routes.set(route, samples);
    samples.milliseconds[samples.nextIndex] = milliseconds;
    samples.nextIndex = (samples.nextIndex + 1) % SAMPLE_LIMIT;
    samples.newSamples += 1;
    if (samples.milliseconds.length < MINIMUM_SAMPLES || samples.newSamples < SAMPLES_PER_UPDATE)
      return;
    samples.newSamples = 0;
    samples.quantileMilliseconds = this.#computeQuantile(samples.milliseconds);
  }

  /** Milliseconds; undefined while the route has fewer than `MINIMUM_SAMPLES` samples. */
  quantileOf(route: string): number | undefined {
    return this.#routes.get(route)?.quantileMilliseconds;
  }

  #computeQuantile(milliseconds: readonly number[]): number | undefined {
    const sorted = [...milliseconds].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#quantile))];
  }
}

/** Initial average of a service: a queue of six requests of 0.1 s each. */
const DEFAULT_DURATION_MILLISECONDS = 600;

/** Averages over about the last twenty requests. */
const LATEST_DURATION_WEIGHT = 0.05;

interface ServiceDurations {
  readonly averageMilliseconds: number;
  /** Part of the average that comes from the initial one. */
  readonly initialWeight: number;
}

const INITIAL: ServiceDurations = {
  averageMilliseconds: DEFAULT_DURATION_MILLISECONDS,
  initialWeight: 1,
};

/** Exponential moving average of the duration of each service's requests. */
export class DurationAverages {
  readonly #services = new Map<string, ServiceDurations>();

  record(service: string, milliseconds: number): void {
    const { averageMilliseconds, initialWeight } = this.#services.get(service) ?? INITIAL;
    const change = (milliseconds - averageMilliseconds) * LATEST_DURATION_WEIGHT;
    this.#services.set(service, {
      averageMilliseconds: averageMilliseconds + change,
      initialWeight: initialWeight * (1 - LATEST_DURATION_WEIGHT),
    });
  }

  averageOf(service: string): number {
    return (this.#services.get(service) ?? INITIAL).averageMilliseconds;
  }

  /** Average of measured durations alone; undefined if there are none. */
  measuredAverageOf(service: string): number | undefined {
    const durations = this.#services.get(service);
    if (durations === undefined) return undefined;
    const { averageMilliseconds, initialWeight } = durations;
    const measuredPart = averageMilliseconds - DEFAULT_DURATION_MILLISECONDS * initialWeight;
    return measuredPart / (1 - initialWeight);
  }
}

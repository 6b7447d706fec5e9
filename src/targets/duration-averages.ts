/** Initial average of a service: a queue of six requests of 0.1 s each. */
const DEFAULT_DURATION_MILLISECONDS = 600;

/** Averages over about the last twenty requests. */
const LATEST_DURATION_WEIGHT = 0.05;

/** Exponential moving average of the duration of each service's requests. */
export class DurationAverages {
  readonly #services = new Map<string, number>();

  record(service: string, milliseconds: number): void {
    const average = this.averageOf(service);
    this.#services.set(service, average + (milliseconds - average) * LATEST_DURATION_WEIGHT);
  }

  averageOf(service: string): number {
    return this.#services.get(service) ?? DEFAULT_DURATION_MILLISECONDS;
  }
}

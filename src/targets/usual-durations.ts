/** Time that a request takes until some were seen: six places of 0.1 s each. Milliseconds. */
const UNSEEN_MILLISECONDS = 600;

/** Weight of the newest request; some twenty make the usual time. */
const NEWEST_WEIGHT = 0.05;

/** How long answered requests of each service usually take, learned from the latest. */
export class UsualDurations {
  readonly #services = new Map<string, number>();

  /** Notes how long an answered request took; milliseconds. */
  note(service: string, milliseconds: number): void {
    const usual = this.of(service);
    this.#services.set(service, usual + (milliseconds - usual) * NEWEST_WEIGHT);
  }

  /** Milliseconds. */
  of(service: string): number {
    return this.#services.get(service) ?? UNSEEN_MILLISECONDS;
  }
}

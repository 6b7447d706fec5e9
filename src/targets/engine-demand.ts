/** Requests in flight at engines; the priority is the one without regard to fair shares. */
export type DemandEntry = readonly [team: string, priority: number, requests: number];

/** Demand of all gateways for engines, by team and priority. */
export interface EngineDemand {
  /** Undefined while no recent totals are known. */
  current():
    { readonly entries: readonly DemandEntry[]; readonly ageMilliseconds: number } | undefined;
}

/** Counts the requests of this gateway in flight at engines by team and priority. */
export class EngineDemandTracker {
  readonly #requests = new Map<string, Map<number, number>>();

  /** Returns a function that ends the request; further calls of it have no effect. */
  begin(team: string, priority: number): () => void {
    this.#add(team, priority, 1);
    let hasEnded = false;
    return () => {
      if (!hasEnded) this.#add(team, priority, -1);
      hasEnded = true;
    };
  }

  entries(): readonly DemandEntry[] {
    const entries: DemandEntry[] = [];
    for (const [team, byPriority] of this.#requests) {
      for (const [priority, requests] of byPriority) entries.push([team, priority, requests]);
    }
    return entries;
  }

  #add(team: string, priority: number, change: number): void {
    const byPriority = this.#requests.get(team) ?? new Map<number, number>();
    const requests = (byPriority.get(priority) ?? 0) + change;
    if (requests > 0) byPriority.set(priority, requests);
    else byPriority.delete(priority);
    if (byPriority.size > 0) this.#requests.set(team, byPriority);
    else this.#requests.delete(team);
  }
}

/** Sums the requests of the same team and priority. */
export function sumDemand(all: Iterable<readonly DemandEntry[]>): readonly DemandEntry[] {
  const sums = new Map<string, DemandEntry>();
  for (const entries of all) {
    for (const [team, priority, requests] of entries) {
      const key = `${priority} ${team}`;
      sums.set(key, [team, priority, (sums.get(key)?.[2] ?? 0) + requests]);
    }
  }
  return [...sums.values()];
}

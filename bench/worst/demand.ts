import { type TeamShare, computeEngineShares } from '../../src/decisions';
import type { SimulatedClock } from './simulated-clock';
import type { SimulatedTeam } from './teams';

/** Interval at which gateways report, and age of the reports when their sum arrives. */
const EXCHANGE_MILLISECONDS = { interval: 236, delay: 118 } as const;

export type TeamShares = ReadonlyMap<string, TeamShare>;

/** Requests in flight by team; gateways know the shares with the delay of the exchange. */
export class SimulatedDemand {
  readonly #clock: SimulatedClock;
  readonly #slots: number;
  readonly #weights: ReadonlyMap<string, number>;
  readonly #requests = new Map<string, number>();
  #shares: TeamShares | undefined;

  constructor(clock: SimulatedClock, slots: number, teams: readonly SimulatedTeam[]) {
    this.#clock = clock;
    this.#slots = slots;
    this.#weights = new Map(teams.map(({ name, quota }) => [name, quota]));
    this.#exchange();
  }

  /** Undefined until the first exchange. */
  get shares(): TeamShares | undefined {
    return this.#shares;
  }

  /** Counts requests of a team; a negative change ends them. */
  add(team: string, change: number): void {
    this.#requests.set(team, (this.#requests.get(team) ?? 0) + change);
  }

  #exchange(): void {
    const shares = this.#computeShares();
    this.#clock.after(EXCHANGE_MILLISECONDS.delay, () => {
      this.#shares = shares;
    });
    this.#clock.after(EXCHANGE_MILLISECONDS.interval, () => {
      this.#exchange();
    });
  }

  #computeShares(): TeamShares {
    const demands = [...this.#requests].map(([team, requests]) => ({
      ...{ team, requests, weight: this.#weights.get(team) ?? 0 },
    }));
    return computeEngineShares({ demands, slots: this.#slots });
  }
}

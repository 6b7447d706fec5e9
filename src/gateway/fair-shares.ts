import type { Clock, Logger, Metrics } from '../core';
import type { EngineLoad } from '../decisions';
import type { RouteTable } from '../routes';
import type { DemandEntry, EngineDemand } from '../targets';
import type { Team } from '../teams';
import { ShareSnapshot } from './share-snapshot';
import { TeamShareLog } from './team-share-log';

export interface FairSharesOptions {
  readonly demand: EngineDemand;
  /** Load of all engines. */
  readonly engines: () => EngineLoad | undefined;
  readonly routes: () => RouteTable | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface CurrentShares {
  readonly shares: ShareSnapshot;
  /** Age of the totals on which the shares are based. */
  readonly ageMilliseconds: number;
}

/** The snapshot with the inputs from which it was computed. */
interface CachedSnapshot {
  readonly entries: readonly DemandEntry[];
  readonly teams: readonly Team[];
  /** Undefined if no engine was reachable. */
  readonly shares: ShareSnapshot | undefined;
}

/** Fair shares of the teams, computed once for each update of the demand or the teams. */
export class FairShares {
  readonly #options: FairSharesOptions;
  readonly #log: TeamShareLog;
  #cached: CachedSnapshot | undefined;

  constructor(options: FairSharesOptions) {
    this.#options = options;
    this.#log = new TeamShareLog(options);
  }

  /** Undefined while the demand is unknown or no engine is reachable. */
  current(): CurrentShares | undefined {
    const demand = this.#options.demand.current();
    const teams = this.#options.routes()?.configuration.teams;
    if (demand === undefined || teams === undefined) {
      this.#log.update(undefined);
      return undefined;
    }
    const { entries, ageMilliseconds } = demand;
    if (this.#cached?.entries !== entries || this.#cached.teams !== teams) {
      this.#cached = { entries, teams, shares: this.#compute(entries, teams) };
      const { shares } = this.#cached;
      this.#log.update(shares && { byTeam: shares.byTeam, slots: shares.slots, ageMilliseconds });
    }
    const { shares } = this.#cached;
    return shares && { shares, ageMilliseconds };
  }

  #compute(entries: readonly DemandEntry[], teams: readonly Team[]): ShareSnapshot | undefined {
    const slots = this.#options.engines()?.slots ?? 0;
    return slots > 0 ? new ShareSnapshot({ entries, teams, slots }) : undefined;
  }
}

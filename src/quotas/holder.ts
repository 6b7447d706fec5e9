import type { Clock, Logger } from '../core';
import type { TeamDirectory } from '../teams';
import { LENT_MILLISECONDS, QuotaBucket } from './bucket';
import type { QuotaDemand, QuotaGrant, QuotaGrants, QuotaReport } from './contract';

export interface QuotaHolderOptions {
  /** The teams of the newest configuration; nothing where there are none. */
  readonly teams: () => TeamDirectory | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** One leadership of this process. */
export interface Leadership {
  readonly term: number;
  /** Monotonic time of its beginning; milliseconds. */
  readonly since: number;
}

/**
 * Lends the quotas of all teams to the gateways, at the process that leads the cluster's state. Only one
 * process leads at a time, and the term of its leadership parts what it lent from what others did.
 */
export class QuotaHolder {
  readonly #options: QuotaHolderOptions;
  #buckets = new Map<string, QuotaBucket>();
  #term = 0;
  #since = 0;

  constructor(options: QuotaHolderOptions) {
    this.#options = options;
  }

  /** Lends what a gateway asks for, under the present leadership. */
  take({ run, demands }: QuotaReport, leadership: Leadership): QuotaGrants {
    this.#begin(leadership);
    const grants = demands.map((demand) => this.#lend(run, demand));
    return { term: leadership.term, grants, validMilliseconds: LENT_MILLISECONDS };
  }

  #begin({ term, since }: Leadership): void {
    if (term === this.#term) return;
    this.#term = term;
    this.#since = since;
    this.#buckets = new Map();
    this.#options.logger.info({ event: 'quota-holder', term });
  }

  #lend(run: string, demand: QuotaDemand): QuotaGrant {
    const { teams, clock } = this.#options;
    const now = clock.monotonic();
    const team = teams()?.named(demand.team);
    const quota = team?.quota;
    if (team === undefined) return grantNothing(demand);
    if (quota === undefined) return grantAll(demand);
    let bucket = this.#buckets.get(team.name);
    if (bucket === undefined) {
      bucket = new QuotaBucket(quota, this.#since);
      this.#buckets.set(team.name, bucket);
    }
    const { requestsPerSecond, burst } = bucket.quota;
    if (requestsPerSecond !== quota.requestsPerSecond || burst !== quota.burst) {
      bucket.resize(quota, now);
    }
    return bucket.lend(run, demand, now);
  }
}

/** For a team that the newest configuration does not know: its keys are refused elsewhere. */
function grantNothing({ team }: QuotaDemand): QuotaGrant {
  return { team, starts: 0, others: 0, stock: 0, left: 0, retryAfterSeconds: 1 };
}

/** For a team without a quota in the newest configuration. */
function grantAll({ team, waitingStarts, waitingOthers }: QuotaDemand): QuotaGrant {
  const lent = { starts: waitingStarts, others: waitingOthers, stock: 0, left: Infinity };
  return { team, ...lent, retryAfterSeconds: 0 };
}

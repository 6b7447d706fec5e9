import type { Clock, Logger } from '../core';
import type { TeamDirectory } from '../teams';
import { LEASE_MILLISECONDS, QuotaBucket } from './bucket';
import type { QuotaDemand, QuotaGrant, QuotaGrants, QuotaReport } from './contract';

export interface QuotaAllocatorOptions {
  /** Teams of the newest configuration; undefined if it has none. */
  readonly teams: () => TeamDirectory | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export interface Leadership {
  readonly term: number;
  /** Monotonic time of its start; milliseconds. */
  readonly since: number;
}

/**
 * Leases the quotas of all teams to the gateways; runs on the leader of the cluster state. The
 * buckets are discarded when the term changes, since other leaders may have granted leases in
 * between.
 */
export class QuotaAllocator {
  readonly #options: QuotaAllocatorOptions;
  #buckets = new Map<string, QuotaBucket>();
  #term = 0;
  #since = 0;

  constructor(options: QuotaAllocatorOptions) {
    this.#options = options;
  }

  allocate({ run, demands }: QuotaReport, leadership: Leadership): QuotaGrants {
    this.#startTerm(leadership);
    const grants = demands.map((demand) => this.#grant(run, demand));
    return { term: leadership.term, grants, validMilliseconds: LEASE_MILLISECONDS };
  }

  #startTerm({ term, since }: Leadership): void {
    if (term === this.#term) return;
    this.#term = term;
    this.#since = since;
    this.#buckets = new Map();
    this.#options.logger.info({ event: 'quota-holder', term });
  }

  #grant(run: string, demand: QuotaDemand): QuotaGrant {
    const { teams, clock } = this.#options;
    const now = clock.monotonic();
    const team = teams()?.findByName(demand.team);
    const quota = team?.quota;
    if (team === undefined) return grantNothing(demand);
    if (quota === undefined) return grantAll(demand);
    let bucket = this.#buckets.get(team.name);
    if (bucket === undefined) {
      bucket = new QuotaBucket(quota, this.#since);
      this.#buckets.set(team.name, bucket);
    }
    const { requestsPerSecond, burst } = bucket.quota;
    try {
      if (requestsPerSecond !== quota.requestsPerSecond || burst !== quota.burst) {
        bucket.resize(quota, now);
      }
      return bucket.lease(run, demand, now);
    } catch (error) {
      // It may have forgotten a lease; a new one assumes leases that it does not know, for their time.
      this.#buckets.set(team.name, new QuotaBucket(quota, now));
      throw error;
    }
  }
}

/** For a team that is not in the newest configuration; its keys are refused by KeyGuard. */
function grantNothing({ team }: QuotaDemand): QuotaGrant {
  return { team, starts: 0, others: 0, stock: 0, left: 0, retryAfterSeconds: 1 };
}

/** For a team without a quota in the newest configuration. */
function grantAll({ team, waitingStarts, waitingOthers }: QuotaDemand): QuotaGrant {
  const granted = { starts: waitingStarts, others: waitingOthers, stock: 0, left: Infinity };
  return { team, ...granted, retryAfterSeconds: 0 };
}

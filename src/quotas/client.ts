import { type CancelTimer, type Clock, type Component, type Logger, messageOf } from '../core';
import type { Team } from '../teams';
import type { QuotaDemand, QuotaGrants, QuotaReport } from './contract';
import { QuotaShare, type ShareOutcome } from './share';

/** Minimum time between two reports to the allocator; a tenth of the duration of a turn. */
const MINIMUM_INTERVAL_MILLISECONDS = 20;

/** Interval of reports while requests are pending. */
const PENDING_INTERVAL_MILLISECONDS = 50;

/** Interval of reports of admitted requests while no request is pending. */
const REPORT_INTERVAL_MILLISECONDS = 100;

const FAILURE_RETRY_MILLISECONDS = 50;

/** Maximum wait of a request for a lease; covers the election of a leader, which takes 0.6 s. */
const ADMISSION_TIMEOUT_MILLISECONDS = 1000;

const UNUSED_SHARE_MILLISECONDS = 60_000;

export interface QuotaClientOptions {
  /** Id of this process, different after each restart. */
  readonly run: string;
  /** Sends a report to the current leader; rejects if the leader is unreachable. */
  readonly sendReport: (report: QuotaReport) => Promise<QuotaGrants>;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface ShareEntry {
  readonly share: QuotaShare;
  usedAt: number;
}

/**
 * Admits requests within their teams' quotas, of which the leader leases parts to each gateway. One
 * report covers all teams, and only one report is in flight at a time.
 */
export class QuotaClient implements Component {
  readonly #options: QuotaClientOptions;
  readonly #shares = new Map<string, ShareEntry>();
  #cancel: CancelTimer = () => undefined;
  #nextPollAt = Infinity;
  #isRequesting = false;
  /** Whether a request arrived that the report in flight does not include. */
  #hasUnreportedRequest = false;
  #isStopped = false;
  #earliestPollAt = -Infinity;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
  }

  start(): void {
    this.#schedule(REPORT_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancel();
  }

  /**
   * Admits or refuses a request of a team. First turns of programs wait for one answer of the
   * leader, other requests up to `ADMISSION_TIMEOUT_MILLISECONDS`; neither waits beyond `deadline`
   * (monotonic milliseconds).
   */
  admit(team: Team, isStart: boolean, deadline: number): Promise<ShareOutcome> {
    if (team.quota === undefined) return Promise.resolve({ kind: 'granted' });
    const now = this.#options.clock.monotonic();
    const entry = this.#entryOf(team.name, now);
    entry.usedAt = now;
    if (!isStart && entry.share.takeFromStock(now)) return Promise.resolve({ kind: 'granted' });
    return new Promise((resolve) => {
      const requestDeadline = Math.min(now + ADMISSION_TIMEOUT_MILLISECONDS, deadline);
      entry.share.enqueue({ isStart, arrivedAt: now, deadline: requestDeadline, resolve });
      this.#hasUnreportedRequest = true;
      this.#schedule(0);
    });
  }

  /** Returns the quota of an admitted request that has not run and will not run. */
  refund(team: Team): void {
    this.#shares.get(team.name)?.share.refund(this.#options.clock.monotonic());
  }

  #entryOf(team: string, now: number): ShareEntry {
    let entry = this.#shares.get(team);
    if (entry === undefined) {
      entry = { share: new QuotaShare(team), usedAt: now };
      this.#shares.set(team, entry);
    }
    return entry;
  }

  /** Moves the next poll forward to `milliseconds` from now, but not before `#earliestPollAt`. */
  #schedule(milliseconds: number): void {
    const { clock } = this.#options;
    const now = clock.monotonic();
    const pollAt = Math.max(now + milliseconds, this.#earliestPollAt);
    if (this.#isStopped || this.#isRequesting || pollAt >= this.#nextPollAt) return;
    this.#cancel();
    this.#nextPollAt = pollAt;
    this.#cancel = clock.after(pollAt - now, () => {
      this.#nextPollAt = Infinity;
      void this.#poll();
    });
  }

  async #poll(): Promise<void> {
    const { clock } = this.#options;
    const startedAt = clock.monotonic();
    this.#removeUnusedShares(startedAt);
    const demands = this.#demandsAt(startedAt);
    this.#hasUnreportedRequest = false;
    if (demands.length > 0) await this.#requestGrants(demands, startedAt);
    let pendingCount = 0;
    for (const { share } of this.#shares.values()) {
      share.refuseExpired(clock.monotonic());
      pendingCount += share.pendingCount;
    }
    this.#schedule(this.#intervalWith(pendingCount));
  }

  #intervalWith(pendingCount: number): number {
    if (this.#hasUnreportedRequest) return 0;
    return pendingCount > 0 ? PENDING_INTERVAL_MILLISECONDS : REPORT_INTERVAL_MILLISECONDS;
  }

  #demandsAt(now: number): readonly QuotaDemand[] {
    const demands: QuotaDemand[] = [];
    for (const { share } of this.#shares.values()) {
      if (share.hasUnreportedChangesAt(now)) demands.push(share.demandAt(now));
    }
    return demands;
  }

  async #requestGrants(demands: readonly QuotaDemand[], reportSentAt: number): Promise<void> {
    const { sendReport, run, clock, logger } = this.#options;
    this.#isRequesting = true;
    try {
      const { grants, validMilliseconds, term } = await sendReport({ run, demands });
      const context = { reportSentAt, validMilliseconds, term };
      demands.forEach((demand, index) => {
        const grant = grants[index];
        const share = this.#shares.get(demand.team)?.share;
        if (grant !== undefined) share?.applyGrant(demand, grant, context);
      });
      this.#earliestPollAt = clock.monotonic() + MINIMUM_INTERVAL_MILLISECONDS;
    } catch (error) {
      logger.info({ event: 'quotas-not-lent', error: messageOf(error) });
      this.#earliestPollAt = clock.monotonic() + FAILURE_RETRY_MILLISECONDS;
    } finally {
      this.#isRequesting = false;
    }
  }

  #removeUnusedShares(now: number): void {
    for (const [team, { share, usedAt }] of this.#shares) {
      if (now - usedAt > UNUSED_SHARE_MILLISECONDS && share.pendingCount === 0)
        this.#shares.delete(team);
    }
  }
}

import type { QuotaDemand, QuotaGrant, QuotaGrants } from './contract';

/** Period of average traffic that the stock covers; long enough for several reports. */
const STOCK_PERIOD_MILLISECONDS = 300;

/** Half-life of requests in the average request rate. */
const HALF_LIFE_MILLISECONDS = 1000;

/**
 * Below this average rate a gateway keeps no stock, since other gateways cannot use the tokens of
 * its unused leases.
 */
const MINIMUM_STOCK_REQUESTS_PER_SECOND = 0.5;

export type ShareOutcome =
  | { readonly kind: 'granted' }
  | {
      readonly kind: 'spent';
      readonly retryAfterSeconds: number;
      /** Requests that remained available at the allocator. */
      readonly left: number;
      /** Term of the leader that answered. */
      readonly term: number;
    }
  /** The allocator did not answer in time. */
  | { readonly kind: 'unknown' };

/** A request that waits for a lease. */
export interface PendingRequest {
  readonly isStart: boolean;
  /** Monotonic time; milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time at which the request is refused; milliseconds. */
  readonly deadline: number;
  readonly resolve: (outcome: ShareOutcome) => void;
}

/** Values that all grants of an answer share. */
export interface AnswerContext extends Pick<QuotaGrants, 'term' | 'validMilliseconds'> {
  /** Monotonic time at which the report was sent; milliseconds. */
  readonly reportSentAt: number;
}

/**
 * One gateway's share of one team's quota: its leased and pending requests and the changes to
 * report to the allocator. Performs no I/O; all times are monotonic milliseconds.
 */
export class QuotaShare {
  readonly #team: string;
  #held = 0;
  #heldUntil = -Infinity;
  #spent = 0;
  #pending: PendingRequest[] = [];
  /** Admitted requests, weighted by exponential decay; the average request rate follows from it. */
  #decayedSum = 0;
  #decayedAt = 0;
  #lastAnswer = { retryAfterSeconds: 0, left: 0, term: 0 };
  /** Time at which the last answered report was sent. */
  #lastAnsweredReportSentAt = -Infinity;
  #reported = { spent: 0, held: 0 };

  constructor(team: string) {
    this.#team = team;
  }

  get pendingCount(): number {
    return this.#pending.length;
  }

  /** Leased requests that are not used yet; 0 after the lease has expired. */
  heldAt(now: number): number {
    return now <= this.#heldUntil ? this.#held : 0;
  }

  /** Whether a report is due: requests are pending or were admitted, or the stock has changed. */
  hasUnreportedChangesAt(now: number): boolean {
    return (
      this.pendingCount > 0 ||
      this.#reported.spent !== this.#spent ||
      this.#reported.held !== this.heldAt(now)
    );
  }

  /**
   * Admits a request from the stock; returns false if none is left or other requests are pending.
   * Not for first turns, which always need a grant.
   */
  takeFromStock(now: number): boolean {
    if (this.heldAt(now) < 1 || this.pendingCount > 0) return false;
    this.#held -= 1;
    this.#countAdmitted(now);
    return true;
  }

  enqueue(request: PendingRequest): void {
    this.#pending.push(request);
  }

  /**
   * Adds the token of an admitted request that did not run to the stock again. Has no effect once
   * the request was reported, since the allocator may have leased its token to another gateway, or
   * after the lease has expired.
   */
  refund(now: number): void {
    if (now > this.#heldUntil || this.#spent <= this.#reported.spent) return;
    this.#spent -= 1;
    this.#held += 1;
  }

  demandAt(now: number): QuotaDemand {
    const held = this.heldAt(now);
    const starts = this.#pending.filter(({ isStart }) => isStart).length;
    return {
      team: this.#team,
      spent: this.#spent,
      held,
      waitingStarts: starts,
      waitingOthers: this.pendingCount - starts,
      stock: this.#wantedStockAt(now),
    };
  }

  /**
   * Applies the answer to `demand`. First turns that were in `demand` and got no lease are refused
   * at once; other requests stay pending.
   */
  applyGrant(demand: QuotaDemand, grant: QuotaGrant, context: AnswerContext): void {
    const { reportSentAt, validMilliseconds, term } = context;
    this.#held = this.heldAt(reportSentAt) + grant.stock;
    this.#heldUntil = reportSentAt + validMilliseconds;
    this.#lastAnsweredReportSentAt = reportSentAt;
    this.#reported = { spent: demand.spent, held: demand.held + grant.stock };
    const { retryAfterSeconds, left } = grant;
    this.#lastAnswer = { retryAfterSeconds, left, term };
    let { starts, others } = grant;
    let refusedStarts = demand.waitingStarts - grant.starts;
    this.#pending = this.#pending.filter((request) => {
      if (request.isStart && starts > 0) starts -= 1;
      else if (!request.isStart && others > 0) others -= 1;
      else if (request.isStart && refusedStarts > 0) {
        refusedStarts -= 1;
        request.resolve(this.#refusalOutcome(request));
        return false;
      } else return true;
      this.#countAdmitted(reportSentAt);
      request.resolve({ kind: 'granted' });
      return false;
    });
    this.#held += starts + others;
  }

  /** Refuses pending requests whose deadline has passed. */
  refuseExpired(now: number): void {
    this.#pending = this.#pending.filter((request) => {
      const isExpired = now >= request.deadline;
      if (isExpired) request.resolve(this.#refusalOutcome(request));
      return !isExpired;
    });
  }

  #refusalOutcome({ arrivedAt }: PendingRequest): ShareOutcome {
    if (this.#lastAnsweredReportSentAt < arrivedAt) return { kind: 'unknown' };
    return { kind: 'spent', ...this.#lastAnswer };
  }

  #countAdmitted(now: number): void {
    this.#spent += 1;
    this.#decayedSum = this.#decayedSumAt(now) + 1;
    this.#decayedAt = now;
  }

  #decayedSumAt(now: number): number {
    return this.#decayedSum * 0.5 ** (Math.max(0, now - this.#decayedAt) / HALF_LIFE_MILLISECONDS);
  }

  #wantedStockAt(now: number): number {
    const perMillisecond = (this.#decayedSumAt(now) * Math.LN2) / HALF_LIFE_MILLISECONDS;
    if (perMillisecond * 1000 < MINIMUM_STOCK_REQUESTS_PER_SECOND) return 0;
    return Math.ceil(perMillisecond * STOCK_PERIOD_MILLISECONDS);
  }
}

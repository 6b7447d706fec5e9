import type { Quota } from '../teams';
import type { QuotaDemand, QuotaGrant } from './contract';

/**
 * Validity of a lease without renewal; covers the election of another leader, which takes 0.6 s, and
 * sometimes a second one.
 */
export const LEASE_MILLISECONDS = 2000;

/** Share of a bucket that is reserved for pending requests; stocks are leased from the rest. */
const RESERVED_SHARE = 0.5;

const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 3 } as const;

/** Tokens that one gateway may hold, as known to the allocator. */
interface Lease {
  readonly tokens: number;
  /** The gateway's `QuotaDemand.spent` when the lease was granted. */
  readonly spent: number;
  /** Monotonic time after which no token of the lease can be spent; milliseconds. */
  readonly expiresAt: number;
}

/**
 * One team's quota at the allocator: a token bucket in which leased tokens occupy capacity until
 * they are reported as spent or expire. All gateways together admit at most the refill of any
 * period plus one bucket, even if gateways are partitioned, killed or report late. Performs no I/O;
 * all times are monotonic milliseconds.
 */
export class QuotaBucket {
  #quota: Quota;
  #level = 0;
  #refilledAt: number;
  readonly #leases = new Map<string, Lease>();
  /** Refused first turns for which no tokens have been refilled since. */
  #refusedStarts = 0;
  /** Until this time tokens that the former leader leased, unknown to this one, may be spent. */
  readonly #formerLeasesExpireAt: number;

  /**
   * The bucket starts empty at `allocatorSince`, the start of this process's leadership, since the
   * former leader may have leased all tokens just before.
   */
  constructor(quota: Quota, allocatorSince: number) {
    this.#quota = quota;
    this.#refilledAt = allocatorSince;
    this.#formerLeasesExpireAt = allocatorSince + LEASE_MILLISECONDS;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** Tokens available for leases, as of the last call of `lease` or `resize`. */
  get level(): number {
    return this.#level;
  }

  /** Tokens in leases that are neither reported as spent nor expired. */
  get leased(): number {
    let sum = 0;
    for (const { tokens } of this.#leases.values()) sum += tokens;
    return sum;
  }

  /** Applies a changed quota; existing leases stay valid. */
  resize(quota: Quota, now: number): void {
    this.#refill(now);
    this.#quota = quota;
    this.#level = Math.max(0, Math.min(this.#level, this.#capacity - this.leased));
  }

  /** Replaces the lease of a gateway according to its demand; `run` identifies its process. */
  lease(run: string, demand: QuotaDemand, now: number): QuotaGrant {
    this.#refill(now);
    this.#reconcileLease(run, demand);
    const others = this.#withdraw(demand.waitingOthers, this.#level);
    const starts = this.#withdraw(demand.waitingStarts, this.#level);
    this.#refusedStarts += demand.waitingStarts - starts;
    const spare = this.#level - this.#capacity * RESERVED_SHARE;
    const stock = this.#withdraw(demand.stock - demand.held, spare);
    const tokens = demand.held + others + starts + stock;
    const { spent } = demand;
    this.#leases.set(run, { tokens, spent, expiresAt: now + LEASE_MILLISECONDS });
    const retryAfterSeconds = this.#retryAfterSeconds();
    const left = Math.floor(this.#level);
    return { team: demand.team, starts, others, stock, left, retryAfterSeconds };
  }

  /** At least 1, so that a quota with a smaller burst admits single requests. */
  get #capacity(): number {
    return Math.max(this.#quota.burst, 1);
  }

  /**
   * Recovers tokens that a gateway neither spent nor holds: its grant was lost, or a request was
   * refunded.
   */
  #reconcileLease(run: string, { spent, held }: QuotaDemand): void {
    const lease = this.#leases.get(run);
    if (lease === undefined) return;
    this.#leases.delete(run);
    const spentSince = Math.max(0, spent - lease.spent);
    this.#level += Math.max(0, lease.tokens - spentSince - held);
  }

  /** Computes the refill piecewise at each expiry, since leases occupy capacity until then. */
  #refill(now: number): void {
    const expired = [...this.#leases].filter(([, { expiresAt }]) => expiresAt < now);
    expired.sort(([, left], [, right]) => left.expiresAt - right.expiresAt);
    for (const [run, { expiresAt }] of expired) {
      this.#refillUntil(expiresAt);
      this.#leases.delete(run);
    }
    this.#refillUntil(now);
  }

  #refillUntil(now: number): void {
    const elapsed = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = Math.max(now, this.#refilledAt);
    const limit = now < this.#formerLeasesExpireAt ? this.#capacity / 2 : this.#capacity;
    const room = Math.max(0, limit - this.leased - this.#level);
    const refill = (elapsed * this.#quota.requestsPerSecond) / 1000;
    this.#level += Math.min(room, refill);
    this.#refusedStarts = Math.max(0, this.#refusedStarts - refill);
  }

  #withdraw(wanted: number, available: number): number {
    const withdrawn = Math.max(0, Math.min(Math.floor(wanted), Math.floor(available)));
    this.#level -= withdrawn;
    return withdrawn;
  }

  /** Adds the refill time of earlier refused first turns, which spreads the retries. */
  #retryAfterSeconds(): number {
    const missingTokens = 1 - this.#level + this.#refusedStarts;
    const seconds = missingTokens / Math.max(this.#quota.requestsPerSecond, Number.MIN_VALUE);
    const { shortest, longest } = RETRY_AFTER_SECONDS;
    return Math.min(Math.max(seconds, shortest), longest);
  }
}

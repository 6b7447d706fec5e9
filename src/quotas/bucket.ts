import type { Quota } from '../teams';
import type { QuotaDemand, QuotaGrant } from './contract';

/**
 * Time for which lent requests may be spent without a word from the holder; milliseconds. It covers the
 * election of another holder (0.6 s, at times two of them).
 */
export const LENT_MILLISECONDS = 2000;

/** Share of a bucket that is kept for requests that wait; stocks are lent from the rest. */
const STOCK_SHARE = 0.5;

/** Bounds of the time after which a refused program may come back; seconds. */
const RETRY_SECONDS = { shortest: 0.1, longest: 3 } as const;

/** What one gateway may hold, as far as the holder knows. */
interface Loan {
  readonly tokens: number;
  readonly spent: number;
  /** Monotonic time after which nothing of it can be spent any more; milliseconds. */
  readonly endsAt: number;
}

/**
 * One team's quota, as its holder keeps it: a token bucket whose lent tokens stay in it until they are
 * known to be spent or over, so that what all gateways let through in any time is at most the refill of
 * that time and one bucket. Answers gateways that are cut off with tokens, killed with them, or tell of
 * them late. No input or output; monotonic time is passed in.
 */
export class QuotaBucket {
  #quota: Quota;
  #level = 0;
  #refilledAt: number;
  readonly #loans = new Map<string, Loan>();
  /** Programs that were refused and could not have begun since. */
  #refusedStarts = 0;
  /** What a former holder lent may be spent until then, unknown to this one. */
  readonly #knowsAllAt: number;

  /**
   * Empty at `heldSince`, when this process began to hold the quotas: a former holder may have lent all
   * there was a moment before.
   */
  constructor(quota: Quota, heldSince: number) {
    this.#quota = quota;
    this.#refilledAt = heldSince;
    this.#knowsAllAt = heldSince + LENT_MILLISECONDS;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** Tokens that may be lent at present. */
  get level(): number {
    return this.#level;
  }

  /** Tokens that gateways may hold. */
  get lent(): number {
    let sum = 0;
    for (const { tokens } of this.#loans.values()) sum += tokens;
    return sum;
  }

  /** Takes another quota over; what is lent already stays lent. */
  resize(quota: Quota, now: number): void {
    this.#refill(now);
    this.#quota = quota;
    this.#level = Math.max(0, Math.min(this.#level, this.#capacity - this.lent));
  }

  /** Takes what a gateway tells, and lends it what there is. */
  lend(run: string, demand: QuotaDemand, now: number): QuotaGrant {
    this.#refill(now);
    this.#settle(run, demand);
    const others = this.#take(demand.waitingOthers, this.#level);
    const starts = this.#take(demand.waitingStarts, this.#level);
    this.#refusedStarts += demand.waitingStarts - starts;
    const spare = this.#level - this.#capacity * STOCK_SHARE;
    const stock = this.#take(demand.stock - demand.held, spare);
    const tokens = demand.held + others + starts + stock;
    const { spent } = demand;
    this.#loans.set(run, { tokens, spent, endsAt: now + LENT_MILLISECONDS });
    const retryAfterSeconds = this.#retryAfterSeconds();
    const left = Math.floor(this.#level);
    return { team: demand.team, starts, others, stock, left, retryAfterSeconds };
  }

  /** Most tokens that the bucket holds; one that lets single requests through at least. */
  get #capacity(): number {
    return Math.max(this.#quota.burst, 1);
  }

  /** What a gateway was lent and neither spent nor holds has not reached it, or was given back. */
  #settle(run: string, { spent, held }: QuotaDemand): void {
    const loan = this.#loans.get(run);
    if (loan === undefined) return;
    this.#loans.delete(run);
    const spentSince = Math.max(0, spent - loan.spent);
    this.#level += Math.max(0, loan.tokens - spentSince - held);
  }

  /** Loans keep their place until they end, so what ends on the way is taken out at its time. */
  #refill(now: number): void {
    const ended = [...this.#loans].filter(([, { endsAt }]) => endsAt < now);
    ended.sort(([, left], [, right]) => left.endsAt - right.endsAt);
    for (const [run, { endsAt }] of ended) {
      this.#refillUntil(endsAt);
      this.#loans.delete(run);
    }
    this.#refillUntil(now);
  }

  #refillUntil(now: number): void {
    const elapsed = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = Math.max(now, this.#refilledAt);
    const known = now < this.#knowsAllAt ? this.#capacity / 2 : this.#capacity;
    const room = Math.max(0, known - this.lent - this.#level);
    const refill = (elapsed * this.#quota.requestsPerSecond) / 1000;
    this.#level += Math.min(room, refill);
    this.#refusedStarts = Math.max(0, this.#refusedStarts - refill);
  }

  #take(wanted: number, available: number): number {
    const taken = Math.max(0, Math.min(Math.floor(wanted), Math.floor(available)));
    this.#level -= taken;
    return taken;
  }

  /** Callers are to return one after the other, as there is room for those before them. */
  #retryAfterSeconds(): number {
    const lacking = 1 - this.#level + this.#refusedStarts;
    const seconds = lacking / Math.max(this.#quota.requestsPerSecond, Number.MIN_VALUE);
    const { shortest, longest } = RETRY_SECONDS;
    return Math.min(Math.max(seconds, shortest), longest);
  }
}

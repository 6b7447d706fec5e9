import type { QuotaDemand, QuotaGrant, QuotaGrants } from './contract';

/** Time for whose usual requests a stock is kept; some exchanges with the holder. Milliseconds. */
const STOCK_MILLISECONDS = 300;

/** Time in which earlier requests come to count half in what is usual; milliseconds. */
const USUAL_HALF_MILLISECONDS = 1000;

/** Usual requests a second below which no stock is kept; what lies in many places is missing in others. */
const STOCK_RATE = 0.5;

/** How a request's wait for its part of the quota ended. */
export type ShareOutcome =
  | { readonly kind: 'granted' }
  | {
      readonly kind: 'spent';
      readonly retryAfterSeconds: number;
      /** What the holder had left, for requests of another kind or another gateway. */
      readonly left: number;
      /** Term of the holder's leadership. */
      readonly term: number;
    }
  /** The holder was not reached in time. */
  | { readonly kind: 'unknown' };

/** A request that waits for its part of the quota. */
export interface Waiter {
  readonly isStart: boolean;
  /** Monotonic time of its arrival; milliseconds. */
  readonly since: number;
  /** Monotonic time from which on it is refused; milliseconds. */
  readonly endsAt: number;
  readonly resolve: (outcome: ShareOutcome) => void;
}

/** When a question was asked, and what holds for all parts of its answer. */
export interface AnswerFacts extends Pick<QuotaGrants, 'term' | 'validMilliseconds'> {
  /** Monotonic time of the question; milliseconds. */
  readonly askedAt: number;
}

/**
 * What one gateway holds of one team's quota: requests that may be let through, those that wait, and what
 * is to be told to the holder. No input or output; monotonic time is passed in.
 */
export class QuotaShare {
  readonly #team: string;
  #held = 0;
  #heldUntil = -Infinity;
  #spent = 0;
  #waiters: Waiter[] = [];
  /** Sum of requests, each counting less with its age; the usual rate follows from it. */
  #recent = 0;
  #recentAt = 0;
  #answer = { retryAfterSeconds: 0, left: 0, term: 0 };
  /** When the holder was asked that answered last; monotonic milliseconds. */
  #answeredAt = -Infinity;
  #told = { spent: 0, held: 0 };

  constructor(team: string) {
    this.#team = team;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  /** Requests that may be let through without asking. */
  heldAt(now: number): number {
    return now <= this.#heldUntil ? this.#held : 0;
  }

  /** Whether the holder should be told: requests wait, were let through, or the stock is over. */
  isNewsAt(now: number): boolean {
    return (
      this.waiting > 0 || this.#told.spent !== this.#spent || this.#told.held !== this.heldAt(now)
    );
  }

  /** Lets a request through out of the stock, if there is any; first turns always ask. */
  takeFromStock(now: number): boolean {
    if (this.heldAt(now) < 1 || this.waiting > 0) return false;
    this.#held -= 1;
    this.#letThrough(now);
    return true;
  }

  wait(waiter: Waiter): void {
    this.#waiters.push(waiter);
  }

  /**
   * Puts a request that was let through, but did not run, back into the stock. Once the holder was told of
   * it, it is lost: the holder may have lent its place to another.
   */
  giveBack(now: number): void {
    if (now > this.#heldUntil || this.#spent <= this.#told.spent) return;
    this.#spent -= 1;
    this.#held += 1;
  }

  demandAt(now: number): QuotaDemand {
    const held = this.heldAt(now);
    const starts = this.#waiters.filter(({ isStart }) => isStart).length;
    return {
      team: this.#team,
      spent: this.#spent,
      held,
      waitingStarts: starts,
      waitingOthers: this.waiting - starts,
      stock: this.#stockAt(now),
    };
  }

  /**
   * Takes what was lent in answer to `demand`. First turns that were asked for and not
   * lent are refused at once, other requests wait on.
   */
  take(demand: QuotaDemand, grant: QuotaGrant, facts: AnswerFacts): void {
    const { askedAt, validMilliseconds, term } = facts;
    this.#held = this.heldAt(askedAt) + grant.stock;
    this.#heldUntil = askedAt + validMilliseconds;
    this.#answeredAt = askedAt;
    this.#told = { spent: demand.spent, held: demand.held + grant.stock };
    const { retryAfterSeconds, left } = grant;
    this.#answer = { retryAfterSeconds, left, term };
    let { starts, others } = grant;
    let refusedStarts = demand.waitingStarts - grant.starts;
    this.#waiters = this.#waiters.filter((waiter) => {
      if (waiter.isStart && starts > 0) starts -= 1;
      else if (!waiter.isStart && others > 0) others -= 1;
      else if (waiter.isStart && refusedStarts > 0) {
        refusedStarts -= 1;
        waiter.resolve(this.#refusalOf(waiter));
        return false;
      } else return true;
      this.#letThrough(askedAt);
      waiter.resolve({ kind: 'granted' });
      return false;
    });
    this.#held += starts + others;
  }

  /** Refuses the requests that have waited for long enough. */
  endWaits(now: number): void {
    this.#waiters = this.#waiters.filter((waiter) => {
      const isOver = now >= waiter.endsAt;
      if (isOver) waiter.resolve(this.#refusalOf(waiter));
      return !isOver;
    });
  }

  #refusalOf({ since }: Waiter): ShareOutcome {
    if (this.#answeredAt < since) return { kind: 'unknown' };
    return { kind: 'spent', ...this.#answer };
  }

  #letThrough(now: number): void {
    this.#spent += 1;
    this.#recent = this.#recentAfter(now) + 1;
    this.#recentAt = now;
  }

  #recentAfter(now: number): number {
    return this.#recent * 0.5 ** (Math.max(0, now - this.#recentAt) / USUAL_HALF_MILLISECONDS);
  }

  #stockAt(now: number): number {
    const perMillisecond = (this.#recentAfter(now) * Math.LN2) / USUAL_HALF_MILLISECONDS;
    if (perMillisecond * 1000 < STOCK_RATE) return 0;
    return Math.ceil(perMillisecond * STOCK_MILLISECONDS);
  }
}

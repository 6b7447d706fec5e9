import type { CancelTimer, Clock } from '../core';

/** Gap between calls of `recordActivity` above which the process was presumably suspended. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 500;

/** Time after a suspension in which the next heartbeat and its response are expected. */
const RESUMPTION_GRACE_MILLISECONDS = 300;

/** Time after the start in which an election may still be in progress. */
const START_GRACE_MILLISECONDS = 3000;

interface Waiter {
  /** Earliest request time that counts; monotonic milliseconds. */
  readonly since: number;
  readonly resolve: (confirmed: boolean) => void;
  readonly cancel: CancelTimer;
}

/**
 * Tracks when the leader last confirmed that this process has the newest configuration. A
 * confirmation covers changes acknowledged before the request was sent, not before the response
 * arrived.
 */
export class LeaderConfirmation {
  readonly #clock: Clock;
  readonly #waiters = new Set<Waiter>();
  /** Time at which the last confirmed request was sent; monotonic milliseconds. */
  #confirmedAt = -Infinity;
  readonly #startedAt: number;
  #lastActiveAt: number;
  #resumedAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
    this.#lastActiveAt = this.#startedAt;
  }

  /** Time since the last confirmed request was sent; Infinity before the first. */
  get ageMilliseconds(): number {
    return this.#clock.monotonic() - this.#confirmedAt;
  }

  /** Detects suspensions of the process; must be called several times per second. */
  recordActivity(): void {
    const now = this.#clock.monotonic();
    if (now - this.#lastActiveAt > SUSPENSION_THRESHOLD_MILLISECONDS) this.#resumedAt = now;
    this.#lastActiveAt = now;
  }

  /**
   * Whether this process started or resumed so recently that a missing confirmation does not
   * indicate an unreachable leader.
   */
  get isInGracePeriod(): boolean {
    const now = this.#clock.monotonic();
    if (now - this.#lastActiveAt > SUSPENSION_THRESHOLD_MILLISECONDS) return true;
    if (this.#confirmedAt === -Infinity) return now - this.#startedAt <= START_GRACE_MILLISECONDS;
    return (
      this.#confirmedAt < this.#resumedAt && now - this.#resumedAt <= RESUMPTION_GRACE_MILLISECONDS
    );
  }

  /** Records that the leader answered a request sent at `requestedAt`; monotonic milliseconds. */
  confirm(requestedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, requestedAt);
    for (const waiter of this.#waiters) {
      if (waiter.since <= this.#confirmedAt) this.#settle(waiter, true);
    }
  }

  /** Whether a request sent at `since` or later has been confirmed. */
  isConfirmedSince(since: number): boolean {
    return this.#confirmedAt >= since;
  }

  /**
   * Resolves with whether a request sent at `since` or later is confirmed within `milliseconds`.
   */
  waitForConfirmation(since: number, milliseconds: number): Promise<boolean> {
    if (this.isConfirmedSince(since)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const cancel = this.#clock.after(milliseconds, () => {
        this.#settle(waiter, false);
      });
      const waiter: Waiter = { since, resolve, cancel };
      this.#waiters.add(waiter);
    });
  }

  get waiterCount(): number {
    return this.#waiters.size;
  }

  #settle(waiter: Waiter, confirmed: boolean): void {
    this.#waiters.delete(waiter);
    waiter.cancel();
    waiter.resolve(confirmed);
  }
}

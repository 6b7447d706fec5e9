import type { CancelTimer, Clock } from '../core';

/** Gap between two signs that this process runs from which on it counts as having stood still; milliseconds. */
const PAUSE_MILLISECONDS = 500;

/** Time after a pause in which the leader's next word is due: a greeting and its answer. Milliseconds. */
const DUE_MILLISECONDS = 300;

/** Time after a start in which a leader is most likely still being elected; milliseconds. */
const START_MILLISECONDS = 3000;

interface Waiter {
  /** Only a question asked at this time or later counts; monotonic milliseconds. */
  readonly since: number;
  readonly resolve: (confirmed: boolean) => void;
  readonly cancel: CancelTimer;
}

/**
 * How lately the leader has confirmed that this process knows the newest configuration. What was
 * acknowledged before the leader was asked is known here; what came later may not be.
 */
export class Confirmation {
  readonly #clock: Clock;
  readonly #waiters = new Set<Waiter>();
  #askedAt = -Infinity;
  readonly #startedAt: number;
  #ranAt: number;
  #pausedUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
    this.#ranAt = this.#startedAt;
  }

  /** Time since the question was asked that was confirmed last; Infinity before the first. */
  get ageMilliseconds(): number {
    return this.#clock.monotonic() - this.#askedAt;
  }

  /** Notes that this process runs; to be called several times a second. */
  noteRunning(): void {
    const now = this.#clock.monotonic();
    if (now - this.#ranAt > PAUSE_MILLISECONDS) this.#pausedUntil = now;
    this.#ranAt = now;
  }

  /**
   * Whether the leader's word is missing because this process has just begun or stood still, and not because
   * the leader is not reached; it is due at any moment then.
   */
  get isDue(): boolean {
    const now = this.#clock.monotonic();
    if (now - this.#ranAt > PAUSE_MILLISECONDS) return true;
    if (this.#askedAt === -Infinity) return now - this.#startedAt <= START_MILLISECONDS;
    return this.#askedAt < this.#pausedUntil && now - this.#pausedUntil <= DUE_MILLISECONDS;
  }

  /** Notes that a question asked at `askedAt` was answered by whoever led then. */
  confirm(askedAt: number): void {
    this.#askedAt = Math.max(this.#askedAt, askedAt);
    for (const waiter of this.#waiters) {
      if (waiter.since <= this.#askedAt) this.#settle(waiter, true);
    }
  }

  /** Whether a question asked at `since` or later is confirmed already. */
  isConfirmedSince(since: number): boolean {
    return this.#askedAt >= since;
  }

  /** Whether a question asked at `since` or later is confirmed within `milliseconds`. */
  confirmedSince(since: number, milliseconds: number): Promise<boolean> {
    if (this.isConfirmedSince(since)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const cancel = this.#clock.after(milliseconds, () => {
        this.#settle(waiter, false);
      });
      const waiter: Waiter = { since, resolve, cancel };
      this.#waiters.add(waiter);
    });
  }

  /** Callers that wait at present. */
  get waiting(): number {
    return this.#waiters.size;
  }

  #settle(waiter: Waiter, confirmed: boolean): void {
    this.#waiters.delete(waiter);
    waiter.cancel();
    waiter.resolve(confirmed);
  }
}

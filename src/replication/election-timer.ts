import type { RandomSource } from '../core';

/** Maximum random addition to an election delay, as a fraction of the election timeout. */
const ELECTION_JITTER_FRACTION = 0.5;

/** Minimum delay before a failed election is retried, as a fraction of the election timeout. */
const MINIMUM_RETRY_FRACTION = 0.2;

/** Election timeouts without leader contact after which a member may have been removed. */
const LEADERLESS_ELECTION_TIMEOUTS = 3;

/** Read lease duration as a fraction of the election timeout; the rest allows for clock drift. */
const READ_LEASE_FRACTION = 0.8;

/** Tracks leader contact and the election deadline; monotonic times in milliseconds. */
export class ElectionTimer {
  readonly #random: RandomSource;
  readonly #electionMilliseconds: number;
  #deadline = 0;
  #leaderContactAt = -Infinity;

  constructor(electionMilliseconds: number, random: RandomSource) {
    this.#electionMilliseconds = electionMilliseconds;
    this.#random = random;
  }

  get electionMilliseconds(): number {
    return this.#electionMilliseconds;
  }

  /** Time after a quorum's answer during which no other member can have been elected. */
  get readLeaseMilliseconds(): number {
    return this.#electionMilliseconds * READ_LEASE_FRACTION;
  }

  isDue(now: number): boolean {
    return now >= this.#deadline;
  }

  /** Whether a leader made contact within the last election timeout. */
  hasRecentLeader(now: number): boolean {
    return now - this.#leaderContactAt < this.#electionMilliseconds;
  }

  /** Whether no leader made contact for {@link LEADERLESS_ELECTION_TIMEOUTS} election timeouts. */
  isLeaderless(now: number): boolean {
    return now - this.#leaderContactAt > this.#electionMilliseconds * LEADERLESS_ELECTION_TIMEOUTS;
  }

  recordLeaderContact(now: number): void {
    this.#leaderContactAt = now;
    this.reset(now);
  }

  reset(now: number): void {
    this.#deadline =
      now + this.#electionMilliseconds * (1 + ELECTION_JITTER_FRACTION * this.#random.fraction());
  }

  /** Uses a shorter delay than {@link reset}, so that a split vote is resolved quickly. */
  resetForRetry(now: number): void {
    const fraction = MINIMUM_RETRY_FRACTION + ELECTION_JITTER_FRACTION * this.#random.fraction();
    this.#deadline = now + this.#electionMilliseconds * fraction;
  }
}

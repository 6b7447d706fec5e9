import type { RandomSource } from '../core';

/** Random part of the wait before an election, as a share of the election time. */
const ELECTION_SPREAD = 0.5;

/** Shortest wait before an election is tried again, as a share of the election time. */
const RETRY_SHARE = 0.2;

/** Silence of all leaders, in election times, after which a member may have been removed. */
const LEADERLESS_ELECTION_TIMES = 3;

/** Share of the shortest election time that a read lease lasts; the rest covers clock drift. */
const LEASE_SHARE = 0.8;

/** When a member last heard of a leader, and when it stands for election. Times in milliseconds. */
export class ElectionTimer {
  readonly #random: RandomSource;
  readonly #election: number;
  #due = 0;
  #leaderHeardAt = -Infinity;

  constructor(electionMilliseconds: number, random: RandomSource) {
    this.#election = electionMilliseconds;
    this.#random = random;
  }

  get electionMilliseconds(): number {
    return this.#election;
  }

  /** Time from an answer of a quorum for which no other member can have been elected. */
  get leaseMilliseconds(): number {
    return this.#election * LEASE_SHARE;
  }

  isDue(now: number): boolean {
    return now >= this.#due;
  }

  /** Whether a leader was heard so lately that it still stands. */
  isLeaderLive(now: number): boolean {
    return now - this.#leaderHeardAt < this.#election;
  }

  /** Whether no leader was heard for a few election times. */
  isLeaderless(now: number): boolean {
    return now - this.#leaderHeardAt > this.#election * LEADERLESS_ELECTION_TIMES;
  }

  hearLeader(now: number): void {
    this.#leaderHeardAt = now;
    this.reset(now);
  }

  reset(now: number): void {
    this.#due = now + this.#election * (1 + ELECTION_SPREAD * this.#random.fraction());
  }

  /** An election that failed because two members stood at once is tried again soon. */
  resetForRetry(now: number): void {
    const share = RETRY_SHARE + ELECTION_SPREAD * this.#random.fraction();
    this.#due = now + this.#election * share;
  }
}

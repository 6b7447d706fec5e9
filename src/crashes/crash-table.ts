import type { Clock } from '../core';
import { type Crash, countCrashes } from '../decisions';

/**
 * Time for which a request's crashes are kept after the last one. All tries of a caller, with the
 * pauses between them, fit in it.
 */
const RETENTION_MILLISECONDS = 120_000;

/** Requests that are kept; beyond it, those whose last crash is the oldest are dropped. */
const REQUEST_LIMIT = 4096;

/** Crashes that are kept of one request; the limit of a request is lower. */
const CRASHES_PER_REQUEST = 16;

/** A crash that a gateway has seen. */
export interface ObservedCrash extends Crash {
  readonly gateway: string;
}

interface Entry {
  readonly crashes: readonly ObservedCrash[];
  /** Monotonic milliseconds. */
  readonly updatedAt: number;
  /** A target answered the request in whole at an attempt that began at this time. */
  readonly answeredAt: number;
}

const NO_ENTRY: Entry = { crashes: [], updatedAt: 0, answeredAt: -Infinity };

/** Crashes that this process knows of, by fingerprint of the request. Bounded in number and age. */
export class CrashTable {
  readonly #clock: Clock;
  /** Least recently updated first. */
  readonly #entries = new Map<string, Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    this.#expire();
    return this.#entries.size;
  }

  fingerprints(): readonly string[] {
    this.#expire();
    return [...this.#entries.keys()];
  }

  crashesOf(fingerprint: string): readonly ObservedCrash[] {
    this.#expire();
    return this.#entries.get(fingerprint)?.crashes ?? [];
  }

  countOf(fingerprint: string): number {
    return countCrashes(this.crashesOf(fingerprint));
  }

  /** Adds crashes that are not known yet; returns whether there were any. */
  add(fingerprint: string, crashes: readonly ObservedCrash[]): boolean {
    this.#expire();
    const entry = this.#entries.get(fingerprint) ?? NO_ENTRY;
    const added = crashes.filter(
      (crash) =>
        crash.lostAt > entry.answeredAt && !entry.crashes.some((known) => isSame(known, crash)),
    );
    if (added.length === 0) return false;
    this.#set(fingerprint, {
      ...entry,
      crashes: [...entry.crashes, ...added].slice(0, CRASHES_PER_REQUEST),
    });
    return true;
  }

  /**
   * Drops the crashes before an attempt that a target answered in whole: the request does not end
   * every target. Returns whether there were any.
   */
  markAnswered(fingerprint: string, attemptStartedAt: number): boolean {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return false;
    const crashes = entry.crashes.filter(({ lostAt }) => lostAt > attemptStartedAt);
    if (crashes.length === entry.crashes.length) return false;
    const answeredAt = Math.max(entry.answeredAt, attemptStartedAt);
    this.#set(fingerprint, { ...entry, crashes, answeredAt });
    return true;
  }

  #set(fingerprint: string, entry: Entry): void {
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, { ...entry, updatedAt: this.#clock.monotonic() });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > REQUEST_LIMIT && oldest !== undefined) this.#entries.delete(oldest);
  }

  #expire(): void {
    const expiresBefore = this.#clock.monotonic() - RETENTION_MILLISECONDS;
    for (const [fingerprint, { updatedAt }] of this.#entries) {
      if (updatedAt >= expiresBefore) return;
      this.#entries.delete(fingerprint);
    }
  }
}

function isSame(left: Crash, right: Crash): boolean {
  return left.request === right.request && left.target === right.target;
}

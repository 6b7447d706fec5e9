import type { Clock } from '../core';
import { type Crash, type CrashCounts, countCrashes } from '../decisions';
import type { ExposureStatus } from './contract';

/**
 * Time for which a request is kept after the last change. All tries of a caller, with the pauses
 * between them, fit in it.
 */
const RETENTION_MILLISECONDS = 120_000;

/** Time for which a request is kept whose targets were all found running. */
const CLEARED_RETENTION_MILLISECONDS = 5000;

const SWEEP_INTERVAL_MILLISECONDS = 1000;

/** Requests that are kept; beyond it, those whose last change is the oldest are dropped. */
const REQUEST_LIMIT = 4096;

/** Attempts that are kept of one request; the limit of a request is lower. */
const EXPOSURES_PER_REQUEST = 16;

/** Time after an answer in which another one shows that several callers send the request. */
const SHARING_WINDOW_MILLISECONDS = 1500;

/** Time after the last end in which a caller of a request that several callers send tries again. */
const SHARED_RETENTION_MILLISECONDS = 8000;

/** An attempt at a target that ended, or may have ended, while it ran the request. */
export interface Exposure extends Crash {
  readonly service: string;
  /** IP:port of the target. */
  readonly address: string;
  /** Name of the gateway that made the attempt. */
  readonly gateway: string;
  /** IP address of the caller. */
  readonly caller?: string | undefined;
  readonly status: ExposureStatus;
}

/** A whole answer to a request. */
export interface Answer {
  /** Id of the request. */
  readonly request: string;
  /** Start of the attempt; monotonic milliseconds. */
  readonly startedAt: number;
}

interface Entry {
  readonly exposures: readonly Exposure[];
  /** Monotonic milliseconds. */
  readonly updatedAt: number;
  /** At most two: more say nothing new. */
  readonly answers: readonly Answer[];
  /** Monotonic milliseconds. */
  readonly firstAnsweredAt: number;
  /** Exposures up to this time were dropped, and are not added again. */
  readonly droppedUntil: number;
  readonly version: number;
}

const NO_ENTRY: Entry = {
  ...{ exposures: [], answers: [], updatedAt: 0, version: 0 },
  ...{ firstAnsweredAt: -Infinity, droppedUntil: -Infinity },
};

/** A status is replaced by a later one only. */
const STATUS_ORDER: readonly ExposureStatus[] = ['running', 'unresolved', 'ended', 'cleared'];

/** Beyond the limit of a request, the first of these are dropped first. */
const RETENTION_ORDER: readonly ExposureStatus[] = ['cleared', 'running', 'unresolved', 'ended'];

/**
 * Attempts after which targets ended or may have ended, by fingerprint of the request, as far as this
 * process knows. Bounded in number and age.
 */
export class ExposureTable {
  readonly #clock: Clock;
  /** Least recently updated first. */
  readonly #entries = new Map<string, Entry>();
  #sweptAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    this.#sweep();
    return this.#entries.size;
  }

  fingerprints(): readonly string[] {
    this.#sweep();
    return [...this.#entries.keys()];
  }

  exposuresOf(fingerprint: string): readonly Exposure[] {
    return this.#entryOf(fingerprint).exposures;
  }

  /** Grows with each change of what is known of the request. */
  versionOf(fingerprint: string): number {
    return this.#entryOf(fingerprint).version;
  }

  /** Targets that ended, or may have ended, under the request of any one caller. */
  countOf(fingerprint: string): number {
    return countCrashes(this.exposuresOf(fingerprint).filter(isCounted));
  }

  /**
   * Targets that ended, or may have ended, under the request of this caller. Callers of one address
   * are one, and only those of a request that several callers send are told apart.
   */
  countsOf(
    fingerprint: string,
    caller?: string,
    isIgnored: (exposure: Exposure) => boolean = () => false,
  ): CrashCounts {
    const isShared = this.isShared(fingerprint);
    const counted = this.exposuresOf(fingerprint)
      .filter((exposure) => isCounted(exposure) && !isIgnored(exposure))
      .filter((exposure) => !isShared || mayBeOfCaller(exposure, caller));
    const confirmed = countCrashes(counted.filter(({ status }) => status === 'ended'));
    return { confirmed, unconfirmed: countCrashes(counted) - confirmed };
  }

  /** Whether several callers were seen to send the request. */
  isShared(fingerprint: string): boolean {
    return this.#entryOf(fingerprint).answers.length > 1;
  }

  /** Adds exposures, or what is new of those that are known; returns whether anything changed. */
  add(fingerprint: string, exposures: readonly Exposure[]): boolean {
    const entry = this.#entryOf(fingerprint);
    let merged = entry.exposures;
    for (const exposure of exposures) {
      if (exposure.lostAt > entry.droppedUntil) merged = merge(merged, exposure);
    }
    if (merged === entry.exposures) return false;
    this.#set(fingerprint, { ...entry, exposures: withinLimit(merged) });
    return true;
  }

  /**
   * Records a whole answer. If it stays the only one, the exposures before it are dropped soon: the
   * request does not end every target. Several answers show that several callers send the request,
   * and say nothing of the one whose targets ended. Returns whether the answer says anything new.
   */
  markAnswered(fingerprint: string, answer: Answer): boolean {
    const entry = this.#entryOf(fingerprint);
    const { answers, exposures } = entry;
    const isNews =
      exposures.some(({ lostAt }) => lostAt <= answer.startedAt) &&
      answers.length < 2 &&
      !answers.some(({ request }) => request === answer.request);
    if (!isNews) return false;
    const firstAnsweredAt = answers.length === 0 ? this.#clock.monotonic() : entry.firstAnsweredAt;
    this.#set(fingerprint, { ...entry, answers: [...answers, answer], firstAnsweredAt });
    return true;
  }

  /** The entry of a request, without what was dropped by now. */
  #entryOf(fingerprint: string): Entry {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return NO_ENTRY;
    const now = this.#clock.monotonic();
    if (now - entry.updatedAt > RETENTION_MILLISECONDS) return NO_ENTRY;
    const droppedUntil = droppedUntilAt(entry, now);
    if (droppedUntil === entry.droppedUntil) return entry;
    const exposures = entry.exposures.filter(({ lostAt }) => lostAt > droppedUntil);
    const current: Entry = { ...entry, exposures, answers: [], droppedUntil };
    this.#entries.set(fingerprint, current);
    return current;
  }

  #set(fingerprint: string, entry: Entry): void {
    this.#entries.delete(fingerprint);
    const version = entry.version + 1;
    this.#entries.set(fingerprint, { ...entry, version, updatedAt: this.#clock.monotonic() });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > REQUEST_LIMIT && oldest !== undefined) this.#entries.delete(oldest);
  }

  #sweep(): void {
    const now = this.#clock.monotonic();
    if (now - this.#sweptAt < SWEEP_INTERVAL_MILLISECONDS) return;
    this.#sweptAt = now;
    for (const [fingerprint, { updatedAt }] of this.#entries) {
      const isCleared = !this.#entryOf(fingerprint).exposures.some(isCounted);
      const retention = isCleared ? CLEARED_RETENTION_MILLISECONDS : RETENTION_MILLISECONDS;
      if (now - updatedAt > retention) this.#entries.delete(fingerprint);
    }
  }
}

function isCounted({ status }: Exposure): boolean {
  return status !== 'cleared';
}

function mayBeOfCaller(exposure: Exposure, caller: string | undefined): boolean {
  return exposure.caller === undefined || caller === undefined || exposure.caller === caller;
}

function isSame(left: Crash, right: Crash): boolean {
  return left.request === right.request && left.target === right.target;
}

/** Returns `exposures` itself if it has what `added` tells. */
function merge(exposures: readonly Exposure[], added: Exposure): readonly Exposure[] {
  const known = exposures.find((exposure) => isSame(exposure, added));
  if (known === undefined) return [...exposures, added];
  const isLater = STATUS_ORDER.indexOf(added.status) > STATUS_ORDER.indexOf(known.status);
  if (!isLater) return exposures;
  return exposures.map((exposure) => (exposure === known ? added : exposure));
}

/** Keeps what is certain longest: ends first, and of equal ones the latest. */
function withinLimit(exposures: readonly Exposure[]): readonly Exposure[] {
  if (exposures.length <= EXPOSURES_PER_REQUEST) return exposures;
  const ordered = exposures.toSorted(
    (left, right) =>
      RETENTION_ORDER.indexOf(left.status) - RETENTION_ORDER.indexOf(right.status) ||
      left.lostAt - right.lostAt,
  );
  return ordered.slice(-EXPOSURES_PER_REQUEST);
}

/** Time up to which exposures say nothing more; the present one if that has not changed. */
function droppedUntilAt(entry: Entry, now: number): number {
  const { answers, exposures, firstAnsweredAt, droppedUntil } = entry;
  const [first] = answers;
  if (first === undefined) return droppedUntil;
  if (answers.length === 1) {
    const isAlone = now - firstAnsweredAt >= SHARING_WINDOW_MILLISECONDS;
    return isAlone ? Math.max(droppedUntil, first.startedAt) : droppedUntil;
  }
  const lastLostAt = Math.max(...exposures.filter(isCounted).map(({ lostAt }) => lostAt));
  return now - lastLostAt >= SHARED_RETENTION_MILLISECONDS
    ? Math.max(droppedUntil, now - SHARED_RETENTION_MILLISECONDS)
    : droppedUntil;
}

import type { Refusal } from './refusal';

/** Targets that may end under one request before it is no longer sent to any. */
export const CRASH_LIMIT = 3;

/** Crashes from which on a request is suspect: one more may reach the limit, so it is not hedged. */
export const SUSPECT_CRASHES = CRASH_LIMIT - 1;

/**
 * Tries of one caller follow one another after a pause. Crashes of different tries that are closer
 * together belong to different callers, whose targets ended in one incident.
 */
export const MINIMUM_TRY_INTERVAL_MILLISECONDS = 50;

/** A target that ended, or may have ended, while it ran a request. */
export interface Crash {
  /** Id of the request; every try of a caller has its own. */
  readonly request: string;
  /** Id of the target. */
  readonly target: string;
  /** Time at which the connection of the request was lost; milliseconds of any one clock. */
  readonly lostAt: number;
  /** Whether equal requests come from one caller, one after the other: those of one program. */
  readonly isSequential?: boolean | undefined;
}

/**
 * The most targets that may have ended under one request of one caller: the longest sequence of
 * crashes in which each may follow the one before it in the tries of one caller.
 */
export function countCrashes(crashes: readonly Crash[]): number {
  const ordered = [...crashes].sort((left, right) => left.lostAt - right.lostAt);
  const lengths: number[] = [];
  for (const [index, crash] of ordered.entries()) {
    const earlier = ordered
      .slice(0, index)
      .map((other, position) => (mayBeOfOneCaller(other, crash) ? (lengths[position] ?? 0) : 0));
    lengths.push(1 + Math.max(0, ...earlier));
  }
  return Math.max(0, ...lengths);
}

function mayBeOfOneCaller(earlier: Crash, later: Crash): boolean {
  if (later.request === earlier.request) return true;
  if (later.isSequential === true && earlier.isSequential === true) return true;
  return later.lostAt - earlier.lostAt >= MINIMUM_TRY_INTERVAL_MILLISECONDS;
}

/** Crashes of a request at the moment of a decision. */
export interface CrashCounts {
  /** Crashes that are confirmed, of all tries. */
  readonly confirmed: number;
  /** Attempts, of all tries, whose targets may or may not have ended. */
  readonly unconfirmed: number;
}

/** What to do with a request before its next attempt. */
export type CrashDecision =
  | { readonly kind: 'send' }
  /** To find out which of the targets ended, for a limited time. */
  | { readonly kind: 'confirm' }
  | { readonly kind: 'stop' };

/**
 * Decides whether a request may be sent to another target. A target that may have ended counts as one
 * that has, until it is found running. Answers requests that end each target
 * that runs them: without a limit, the tries of one caller end as many targets as there are.
 */
export function decideAfterCrashes({ confirmed, unconfirmed }: CrashCounts): CrashDecision {
  if (confirmed >= CRASH_LIMIT) return { kind: 'stop' };
  return confirmed + unconfirmed >= CRASH_LIMIT ? { kind: 'confirm' } : { kind: 'send' };
}

/**
 * Refusal of a request under which too many targets ended or may have ended. It may have run, and
 * nothing tells when its targets will be known to run.
 */
export function refuseUnresolved(targets: number): Refusal {
  return {
    status: 502,
    code: 'targets_unresolved',
    message: `${targets} targets ended, or were not found running since, while they ran this request`,
  };
}

/**
 * Refusal of a request under which too many targets ended. It may have run, and sending it again
 * ends more targets, so it carries no `Retry-After`.
 */
export function refuseAfterCrashes(targets: number): Refusal {
  return {
    status: 502,
    code: 'targets_ended',
    message: `${targets} targets ended while they ran this request; it is not sent again`,
  };
}

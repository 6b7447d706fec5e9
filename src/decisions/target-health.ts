/** First time for which a target that can't be reached gets no work; milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 300;

/** Longest such time; the list drops a crashed server after some seconds. Milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 3000;

/** Doublings of the pause that are counted; the longest pause is reached long before. */
const MOST_DOUBLINGS = 10;

/** Weight of the newest outcome in the share of failures; three failures in a row make 0.66. */
const OUTCOME_WEIGHT = 0.3;

/** Time in which a share of failures that nothing confirms falls by half; milliseconds. */
const FORGIVING_MILLISECONDS = 5000;

/** What the outcomes of its requests say of a target. Times are monotonic, in milliseconds. */
export interface TargetHealth {
  /** Share of requests that failed, as of `outcomeAt`. */
  readonly failureShare: number;
  readonly outcomeAt: number;
  /** Failures in a row that each doubled the pause. */
  readonly failuresInARow: number;
  /** Time until which the target gets no new work; infinite where its address is another's. */
  readonly pausedUntil: number;
}

/** How a request at a target ended, as far as it tells of the target. */
export type HealthEvent =
  /** A success, or a failure of the request's own. */
  | 'answered'
  /** An answer by which the target itself says that it failed. */
  | 'answered-with-error'
  /** No connection, a lost one, or silence until the time was over. */
  | 'unreachable'
  /** Another server has the address, which this one does not get back. */
  | 'address-reused';

/** A target of which nothing is known yet. */
export const NEW_TARGET_HEALTH: TargetHealth = {
  failureShare: 0,
  outcomeAt: 0,
  failuresInARow: 0,
  pausedUntil: -Infinity,
};

/**
 * What is known of a target after one more outcome. Answers targets that are down (a pause that grows
 * keeps callers' tries away, and ends with the first answer) and targets that fail a part of their
 * requests (their share of failures makes them dearer than others, and is forgiven in time).
 */
export function nextHealth(health: TargetHealth, event: HealthEvent, now: number): TargetHealth {
  if (event === 'address-reused') return { ...health, pausedUntil: Infinity };
  const failureShare = shareAfter(health, event === 'answered' ? 0 : 1, now);
  const judged = { ...health, failureShare, outcomeAt: now };
  if (health.pausedUntil === Infinity) return judged;
  if (event === 'unreachable') return { ...judged, ...longerPause(health, now) };
  return { ...judged, failuresInARow: 0, pausedUntil: -Infinity };
}

/** Share of requests that failed lately, 0 to 1; what is long ago counts less. */
export function failureShareAt({ failureShare, outcomeAt }: TargetHealth, now: number): number {
  if (failureShare === 0) return 0;
  return failureShare * 0.5 ** ((now - outcomeAt) / FORGIVING_MILLISECONDS);
}

export function isPausedAt({ pausedUntil }: TargetHealth, now: number): boolean {
  return now < pausedUntil;
}

function shareAfter(health: TargetHealth, failure: 0 | 1, now: number): number {
  const share = failureShareAt(health, now);
  return share + (failure - share) * OUTCOME_WEIGHT;
}

function longerPause(
  { failuresInARow }: TargetHealth,
  now: number,
): Pick<TargetHealth, 'failuresInARow' | 'pausedUntil'> {
  const pause = FIRST_PAUSE_MILLISECONDS * 2 ** failuresInARow;
  return {
    failuresInARow: Math.min(failuresInARow + 1, MOST_DOUBLINGS),
    pausedUntil: now + Math.min(pause, LONGEST_PAUSE_MILLISECONDS),
  };
}

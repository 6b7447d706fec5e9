/** Backoff after the first failure to reach a target. */
const INITIAL_PAUSE_MILLISECONDS = 300;

/** Upper bound of the backoff; short, since crashed targets soon disappear from the target list. */
const MAXIMUM_PAUSE_MILLISECONDS = 3000;

/** Bounds the exponent of the backoff; the maximum pause is reached earlier. */
const MAXIMUM_PAUSE_DOUBLINGS = 10;

/**
 * Weight of the latest outcome in the exponential moving average of failures; three consecutive
 * failures give 0.66.
 */
const LATEST_OUTCOME_WEIGHT = 0.3;

/** Half-life of the failure share without new outcomes. */
const FAILURE_SHARE_HALF_LIFE_MILLISECONDS = 5000;

/** Health of a target, derived from the outcomes of its requests. Monotonic milliseconds. */
export interface TargetHealth {
  /** Moving average of failed requests at the time `outcomeAt`, 0 to 1. */
  readonly failureShare: number;
  readonly outcomeAt: number;
  /** Consecutive failures to reach the target; each doubles the pause. */
  readonly consecutiveFailures: number;
  /** The target is excluded until this time; infinite if another server has its address. */
  readonly pausedUntil: number;
}

/** Outcome of a request with respect to the health of its target. */
export type HealthEvent =
  /** A success, or an error caused by the request. */
  | 'answered'
  /** A response that reports an error of the target. */
  | 'answered-with-error'
  /** Connection failed or lost, or no response before the deadline. */
  | 'unreachable'
  /** Another server has the address permanently. */
  | 'address-reused';

export const INITIAL_TARGET_HEALTH: TargetHealth = {
  failureShare: 0,
  outcomeAt: 0,
  consecutiveFailures: 0,
  pausedUntil: -Infinity,
};

/**
 * Returns the health after an outcome. An unreachable target is excluded with exponential backoff
 * until its first response. Failures raise the failure share, which increases the cost of the
 * target in placement and decays over time.
 */
export function nextHealth(health: TargetHealth, event: HealthEvent, now: number): TargetHealth {
  if (event === 'address-reused') return { ...health, pausedUntil: Infinity };
  const failureShare = updatedFailureShare(health, event === 'answered' ? 0 : 1, now);
  const updated = { ...health, failureShare, outcomeAt: now };
  if (health.pausedUntil === Infinity) return updated;
  if (event === 'unreachable') return { ...updated, ...extendedPause(health, now) };
  return { ...updated, consecutiveFailures: 0, pausedUntil: -Infinity };
}

/** The failure share decayed to `now`, 0 to 1. */
export function failureShareAt({ failureShare, outcomeAt }: TargetHealth, now: number): number {
  if (failureShare === 0) return 0;
  return failureShare * 0.5 ** ((now - outcomeAt) / FAILURE_SHARE_HALF_LIFE_MILLISECONDS);
}

export function isPausedAt({ pausedUntil }: TargetHealth, now: number): boolean {
  return now < pausedUntil;
}

function updatedFailureShare(health: TargetHealth, failure: 0 | 1, now: number): number {
  const share = failureShareAt(health, now);
  return share + (failure - share) * LATEST_OUTCOME_WEIGHT;
}

function extendedPause(
  { consecutiveFailures }: TargetHealth,
  now: number,
): Pick<TargetHealth, 'consecutiveFailures' | 'pausedUntil'> {
  const pause = INITIAL_PAUSE_MILLISECONDS * 2 ** consecutiveFailures;
  return {
    consecutiveFailures: Math.min(consecutiveFailures + 1, MAXIMUM_PAUSE_DOUBLINGS),
    pausedUntil: now + Math.min(pause, MAXIMUM_PAUSE_MILLISECONDS),
  };
}

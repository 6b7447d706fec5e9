/** Codes of the responses that a gateway generates instead of forwarding the request. */
export type RefusalCode =
  | 'stopping'
  | 'no_configuration'
  | 'no_route'
  | 'no_key'
  | 'unknown_key'
  | 'keys_unconfirmed'
  | 'routes_unconfirmed'
  | 'quota_spent'
  | 'quota_unknown'
  | 'bad_request'
  | 'body_too_large'
  | 'no_memory'
  | 'budget_spent'
  | 'no_such_turn'
  | 'turns_unavailable'
  | 'no_target'
  | 'not_run'
  | 'overloaded'
  | 'team_over_share'
  | 'outcome_unknown'
  | 'targets_ended'
  | 'targets_unresolved'
  | 'time_over';

/** Response that a gateway generates itself. */
export interface Refusal {
  readonly status: number;
  readonly code: RefusalCode;
  readonly message: string;
  /** Sent as `Retry-After`; present only if the request was not run. */
  readonly retryAfterSeconds?: number;
}

/** Requests in flight at a target and the number that it processes concurrently. */
export interface TargetLoad {
  readonly load: number;
  readonly slots: number;
}

const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 1 };

/**
 * Refusal of a request that no target accepted. `Retry-After` is the estimated time until the least
 * loaded target has drained its queue, based on the average duration of the service's requests.
 */
export function refuseWithoutTarget(
  service: string,
  targets: readonly TargetLoad[],
  averageMilliseconds: number,
): Refusal {
  return {
    status: 503,
    code: targets.length === 0 ? 'no_target' : 'not_run',
    message: `no target of ${service} took the request; it was not run`,
    retryAfterSeconds: queueDrainSeconds(targets, averageMilliseconds),
  };
}

/** Refusal of a request that may have run and is not safe to retry. */
export function refuseUnknownOutcome(reason: string): Refusal {
  return {
    status: 502,
    code: 'outcome_unknown',
    message: `the request may have run; its answer was lost: ${reason}`,
  };
}

/** Refusal of a request whose deadline has passed. */
export function refuseAfterDeadline(mayHaveRun: boolean): Refusal {
  if (mayHaveRun) {
    const message = 'no answer came in time; the request may have run';
    return { status: 504, code: 'time_over', message };
  }
  return {
    status: 503,
    code: 'time_over',
    message: 'the time was over before a target took the request; it was not run',
    retryAfterSeconds: RETRY_AFTER_SECONDS.shortest,
  };
}

/** Estimated time until the least loaded target has drained its queue, clamped; seconds. */
function queueDrainSeconds(targets: readonly TargetLoad[], averageMilliseconds: number): number {
  const waits = targets.map(
    ({ load, slots }) => (Math.max(0, load - slots) * averageMilliseconds) / Math.max(1, slots),
  );
  const seconds = Math.min(...waits, Infinity) / 1000;
  const { shortest, longest } = RETRY_AFTER_SECONDS;
  return Number.isFinite(seconds) ? Math.min(Math.max(seconds, shortest), longest) : longest;
}

/** Why the gateway answers a request itself. */
export type RefusalCode =
  | 'stopping'
  | 'no_configuration'
  | 'no_route'
  | 'no_key'
  | 'unknown_key'
  | 'keys_unconfirmed'
  | 'quota_spent'
  | 'quota_unknown'
  | 'bad_request'
  | 'body_too_large'
  | 'budget_spent'
  | 'no_such_turn'
  | 'turns_unavailable'
  | 'no_target'
  | 'not_run'
  | 'overloaded'
  | 'outcome_unknown'
  | 'time_over';

/** An answer of the gateway's own. */
export interface Refusal {
  readonly status: number;
  readonly code: RefusalCode;
  readonly message: string;
  /** Seconds after which the caller may try again; only where the request was not run. */
  readonly retryAfterSeconds?: number;
}

/** What a service's targets have under way when none of them took a request. */
export interface TargetLoad {
  readonly load: number;
  readonly slots: number;
}

/** Shortest and longest pause that a refusal asks for; seconds. */
const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 1 };

/**
 * The refusal of a request that no target took. Answers a service that is full: the caller is told
 * the time in which its least loaded target has most likely worked off what waits there.
 * `usualMilliseconds`: how long the service's requests usually take.
 */
export function refuseWithoutTarget(
  service: string,
  targets: readonly TargetLoad[],
  usualMilliseconds: number,
): Refusal {
  return {
    status: 503,
    code: targets.length === 0 ? 'no_target' : 'not_run',
    message: `no target of ${service} took the request; it was not run`,
    retryAfterSeconds: pauseFor(targets, usualMilliseconds),
  };
}

/** The refusal of a request that may have run, and may not run again. */
export function refuseAsUnknown(reason: string): Refusal {
  return {
    status: 502,
    code: 'outcome_unknown',
    message: `the request may have run; its answer was lost: ${reason}`,
  };
}

/** The refusal of a request whose time is over. */
export function refuseAsTooLate(mayHaveRun: boolean): Refusal {
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

/** The time until the least loaded target has most likely worked off its queue; seconds. */
function pauseFor(targets: readonly TargetLoad[], usualMilliseconds: number): number {
  const waits = targets.map(
    ({ load, slots }) => (Math.max(0, load - slots) * usualMilliseconds) / Math.max(1, slots),
  );
  const seconds = Math.min(...waits, Infinity) / 1000;
  const { shortest, longest } = RETRY_AFTER_SECONDS;
  return Number.isFinite(seconds) ? Math.min(Math.max(seconds, shortest), longest) : longest;
}

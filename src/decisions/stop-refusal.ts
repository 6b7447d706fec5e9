import type { Route } from '../routes';
import { type Refusal, refuseAfterDeadline } from './refusal';

/** Most requests end within this multiple of their service's average duration. */
const LIKELY_DURATION_FACTOR = 3;

/** The caller may retry at once, since another gateway accepts the request. */
export const STOPPING: Refusal = {
  status: 503,
  code: 'stopping',
  message: 'this process is stopping; the request was not run',
  retryAfterSeconds: 0,
};

const ENDED_BY_STOP: Refusal = {
  status: 504,
  code: 'stopping',
  message: 'this process is stopping; the request may have run and no answer came in time',
};

export interface RequestDurationInput {
  readonly kind: Route['kind'];
  /** Time until the request's deadline. */
  readonly remainingMilliseconds: number;
  /** Average duration of requests to the route's slowest service; 0 if none has been measured. */
  readonly averageMilliseconds: number;
}

/**
 * Time that a process must have left to take a request during a planned stop. A request that may run
 * only once, or streams its response, gets all the time until its deadline, since its caller cannot
 * repeat it if the process ends first. A repeatable one that has no answer by then is merely sent again.
 */
export function neededMilliseconds({
  kind,
  remainingMilliseconds,
  averageMilliseconds,
}: RequestDurationInput): number {
  if (kind !== 'repeatable') return remainingMilliseconds;
  return Math.min(remainingMilliseconds, averageMilliseconds * LIKELY_DURATION_FACTOR);
}

/** Refusal of a request whose time is over: at its deadline, or because the process stops. */
export function refuseUnfinished(mayHaveRun: boolean, isEndedByStop: boolean): Refusal {
  if (!isEndedByStop) return refuseAfterDeadline(mayHaveRun);
  return mayHaveRun ? ENDED_BY_STOP : STOPPING;
}

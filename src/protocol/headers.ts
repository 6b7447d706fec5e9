/** HTTP headers of callers' requests and of calls between entries and sidecars. */
export const HEADERS = {
  /** Id of the program that a call belongs to. */
  program: 'martenbay-program',
  /** Sequence number of the call in its program, from 1. */
  sequence: 'martenbay-sequence',
  /** Time that the caller waits for the response, in milliseconds. */
  deadline: 'martenbay-deadline',
  /** `append`: the body contains only the new messages. */
  history: 'martenbay-history',
  /** In a refusal, whether the call ran: `not-run` or `unknown`. */
  outcome: 'martenbay-outcome',
  /** Id of one attempt of a call, between entry and sidecar. */
  attempt: 'martenbay-attempt',
  /** Sidecar incarnation at which a non-repeatable call was claimed; absent for other calls. */
  claim: 'martenbay-claim',
  /** Credential that processes present to each other. */
  credential: 'martenbay-credential',
  /** Load of a target, with the call itself, when its response began: `running,waiting`. */
  load: 'martenbay-load',
} as const;

/** Whether a refused call ran. */
export type RunOutcome = 'not-run' | 'unknown';

/** Path prefix at a sidecar for calls to its target. */
export const CALL_PREFIX = '/target';

/** Path prefix at a sidecar for settling an attempt. */
export const ATTEMPT_PREFIX = '/attempts';

/** Formats the value of {@link HEADERS.load}. */
export function formatLoad(load: { readonly running: number; readonly waiting: number }): string {
  return `${load.running},${load.waiting}`;
}

/** Parses {@link HEADERS.load}; undefined when it is absent or malformed. */
export function parseLoad(
  text: string | undefined,
): { readonly running: number; readonly waiting: number } | undefined {
  const [running, waiting] = (text ?? '').split(',').map(Number);
  if (running === undefined || waiting === undefined) return undefined;
  return Number.isInteger(running) && Number.isInteger(waiting) ? { running, waiting } : undefined;
}

/** Headers of callers' requests and of the calls between entries and sidecars. */
export const HEADERS = {
  /** Program that a call belongs to. */
  program: 'martenbay-program',
  /** The call's place in the program's order, from 1. */
  sequence: 'martenbay-sequence',
  /** Time that the caller waits, in milliseconds. */
  deadline: 'martenbay-deadline',
  /** `append`: the body carries only the new messages. */
  history: 'martenbay-history',
  /** On a refusal, whether the call ran: `not-run` or `unknown`. */
  outcome: 'martenbay-outcome',
  /** Identity of one run of a call, between entry and sidecar. */
  attempt: 'martenbay-attempt',
  /** Present on a call that may not be repeated: the sidecar incarnation it was claimed at. */
  claim: 'martenbay-claim',
  /** Credential between processes. */
  credential: 'martenbay-credential',
  /** Load of a target when it admitted the call: running, waiting. */
  load: 'martenbay-load',
} as const;

/** Whether a refused call ran. */
export type RunOutcome = 'not-run' | 'unknown';

/** Path prefix at a sidecar below which calls go to its target. */
export const CALL_PREFIX = '/target';

/** Path prefix at a sidecar for settling an attempt. */
export const ATTEMPT_PREFIX = '/attempts';

/** Renders a load for {@link HEADERS.load}. */
export function formatLoad(load: { readonly running: number; readonly waiting: number }): string {
  return `${load.running},${load.waiting}`;
}

/** Reads {@link HEADERS.load}; nothing when it is absent or malformed. */
export function parseLoad(
  text: string | undefined,
): { readonly running: number; readonly waiting: number } | undefined {
  const [running, waiting] = (text ?? '').split(',').map(Number);
  if (running === undefined || waiting === undefined) return undefined;
  return Number.isInteger(running) && Number.isInteger(waiting) ? { running, waiting } : undefined;
}

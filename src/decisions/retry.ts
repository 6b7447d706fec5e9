import type { Route } from '../routes';
import { type Refusal, refuseAsTooLate, refuseAsUnknown } from './refusal';

/** Targets that could not be reached before a request is refused. */
const UNREACHED_LIMIT = 4;

/** Status of a server that is not the one that was meant. */
export const MISDIRECTED = 421;

/** How one try at one target ended. */
export type TryOutcome =
  | { readonly kind: 'answered' }
  /** The whole answer was passed to the receiver. */
  | { readonly kind: 'streamed' }
  /** Nothing was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The target says that it did not run the request. */
  | { readonly kind: 'not-run'; readonly status: number }
  /** The request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly began: boolean }
  /** The try was given up, as asked. */
  | { readonly kind: 'given-up'; readonly sent: boolean; readonly began: boolean };

/** The tries of one request up to now. */
export interface Tries {
  /** Targets to which it was sent and that are counted against the route's limit. */
  readonly reached: number;
  /** Targets that could not be reached, or were not the ones that were meant. */
  readonly unreached: number;
  /** Whether one of them may have run it. */
  readonly mayHaveRun: boolean;
}

export const NO_TRIES: Tries = { reached: 0, unreached: 0, mayHaveRun: false };

/** What a request's next step rests on. */
export interface RetrySnapshot {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'attempts'>;
  readonly tries: Tries;
  /** How the newest try ended. */
  readonly outcome: TryOutcome;
  readonly hasCallerLeft: boolean;
  /** Whether a request that did not run may go to another target. */
  readonly retries: boolean;
}

/** What becomes of a request after a try. */
export type NextStep =
  | { readonly kind: 'deliver' }
  | { readonly kind: 'caller-left' }
  | { readonly kind: 'try-another'; readonly tries: Tries }
  /** Nothing is left to try. */
  | { readonly kind: 'exhausted'; readonly tries: Tries }
  | {
      readonly kind: 'refuse';
      readonly refusal: Refusal;
      /** Whether a part of an answer went to the caller already. */
      readonly began: boolean;
      /** Whether it is certain that no target has run the request. */
      readonly isNotRun: boolean;
    };

/**
 * Decides after each try whether a request is tried elsewhere. Answers targets that are full, gone or
 * cut off: what certainly did not run goes to another target at once, and what may have run only where
 * its route allows that, so that nothing is done twice.
 */
export function decideNext({
  route,
  tries,
  outcome,
  hasCallerLeft,
  retries,
}: RetrySnapshot): NextStep {
  switch (outcome.kind) {
    case 'answered':
    case 'streamed':
      return { kind: 'deliver' };
    case 'given-up': {
      if (hasCallerLeft) return { kind: 'caller-left' };
      const mayHaveRun = tries.mayHaveRun || outcome.sent;
      const refusal = refuseAsTooLate(mayHaveRun);
      return { kind: 'refuse', refusal, began: outcome.began, isNotRun: !mayHaveRun };
    }
    case 'unknown':
      if (outcome.began || !mayRunAgain(route)) {
        const refusal = refuseAsUnknown(outcome.reason);
        return { kind: 'refuse', refusal, began: outcome.began, isNotRun: false };
      }
      return goOn(route, { ...tries, reached: tries.reached + 1, mayHaveRun: true }, retries);
    case 'not-sent':
      return goOn(route, { ...tries, unreached: tries.unreached + 1 }, retries);
    case 'not-run':
      return goOn(route, countNotRun(tries, outcome.status), retries);
  }
}

/** Whether a call may go to a second target while its first try is under way. */
export function mayBeSentTwice({ kind, attempts }: RetrySnapshot['route'], tries: Tries): boolean {
  return kind === 'repeatable' && tries.reached + 1 < attempts;
}

/** Another server having the address is no try at the one that was meant. */
function countNotRun(tries: Tries, status: number): Tries {
  if (status === MISDIRECTED) return { ...tries, unreached: tries.unreached + 1 };
  return { ...tries, reached: tries.reached + 1 };
}

function goOn({ attempts }: RetrySnapshot['route'], tries: Tries, retries: boolean): NextStep {
  const isOver = tries.reached >= attempts || tries.unreached >= UNREACHED_LIMIT;
  return isOver || !retries ? { kind: 'exhausted', tries } : { kind: 'try-another', tries };
}

/**
 * Whether a request whose outcome is not known may be sent again. For a stream that may be resumed
 * this saves the caller a whole try of its own where an engine ends or loses an answer.
 */
function mayRunAgain({ kind, isResumable }: RetrySnapshot['route']): boolean {
  return kind === 'repeatable' || (kind === 'stream' && isResumable);
}

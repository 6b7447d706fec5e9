import type { Route } from '../routes';
import { type Refusal, refuseUnknownOutcome } from './refusal';
import { refuseUnfinished } from './stop-refusal';

/** Number of unreachable targets after which a request is refused. */
const UNREACHABLE_TARGET_LIMIT = 4;

/** 421 Misdirected Request (RFC 9110): another server now has the address of the target. */
export const MISDIRECTED_REQUEST_STATUS = 421;

/** How an attempt at a target ended, without the response. */
export type AttemptSummary =
  | { readonly kind: 'answered' }
  /** The complete response was streamed to the receiver. */
  | { readonly kind: 'streamed' }
  /** No part of the request was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The target reports that it did not run the request. */
  | { readonly kind: 'not-run'; readonly status: number }
  /** The request may have run. `began`: whether a part of the response was streamed. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly began: boolean }
  /** The gateway gave up the response, which had begun to arrive, for lack of memory. */
  | { readonly kind: 'no-memory' }
  /** The gateway aborted the attempt: at the deadline, in a stop, or since the caller disconnected. */
  | {
      readonly kind: 'given-up';
      readonly sent: boolean;
      readonly began: boolean;
      /** Whether the response had to wait for the gateway's memory. */
      readonly hasWaited?: boolean;
    };

/** Attempts of one request so far. */
export interface AttemptCounts {
  /** Attempts that count against the route's limit. */
  readonly reached: number;
  /** Attempts at targets that could not be reached or whose address belongs to another server. */
  readonly unreached: number;
  /** Whether one of the targets may have run the request. */
  readonly mayHaveRun: boolean;
}

export const NO_ATTEMPTS: AttemptCounts = { reached: 0, unreached: 0, mayHaveRun: false };

export interface RetryInput {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'attempts'>;
  readonly attemptCounts: AttemptCounts;
  /** Outcome of the latest attempt. */
  readonly outcome: AttemptSummary;
  readonly hasCallerDisconnected: boolean;
  /** Whether a planned stop of the gateway has ended the request. */
  readonly isEndedByStop?: boolean;
  /** Whether retries are enabled in the settings. */
  readonly retries: boolean;
}

/** What to do with a request after an attempt. */
export type NextStep =
  | { readonly kind: 'deliver' }
  | {
      readonly kind: 'caller-left';
      /** Whether it is certain that no target ran the request. */
      readonly isNotRun: boolean;
    }
  | { readonly kind: 'try-another'; readonly attemptCounts: AttemptCounts }
  /** No further attempt is allowed. */
  | { readonly kind: 'exhausted'; readonly attemptCounts: AttemptCounts }
  | {
      readonly kind: 'refuse';
      readonly refusal: Refusal;
      /** Whether a part of the response was already sent to the caller. */
      readonly began: boolean;
      /** Whether it is certain that no target ran the request. */
      readonly isNotRun: boolean;
    };

/**
 * Decides after each attempt whether to retry at another target. Answers targets that are full, gone
 * or partitioned, without running anything twice: a request that did not run is retried at once; one that may have run is retried only if its route allows repeated execution.
 */
export function decideNext({
  route,
  attemptCounts,
  outcome,
  hasCallerDisconnected,
  isEndedByStop = false,
  retries,
}: RetryInput): NextStep {
  switch (outcome.kind) {
    case 'answered':
    case 'streamed':
      return { kind: 'deliver' };
    case 'given-up': {
      const mayHaveRun = attemptCounts.mayHaveRun || outcome.sent;
      if (hasCallerDisconnected) return { kind: 'caller-left', isNotRun: !mayHaveRun };
      const refusal = refuseUnfinished(mayHaveRun, isEndedByStop);
      return { kind: 'refuse', refusal, began: outcome.began, isNotRun: !mayHaveRun };
    }
    case 'no-memory':
      // Another attempt would need the memory too.
      return {
        kind: 'refuse',
        refusal: refuseUnknownOutcome('the gateway has no memory for it at present'),
        began: false,
        isNotRun: false,
      };
    case 'unknown':
      if (outcome.began || !isRetrySafe(route)) {
        const refusal = refuseUnknownOutcome(outcome.reason);
        return { kind: 'refuse', refusal, began: outcome.began, isNotRun: false };
      }
      return retryOrExhaust(
        route,
        { ...attemptCounts, reached: attemptCounts.reached + 1, mayHaveRun: true },
        retries,
      );
    case 'not-sent':
      return retryOrExhaust(
        route,
        { ...attemptCounts, unreached: attemptCounts.unreached + 1 },
        retries,
      );
    case 'not-run':
      return retryOrExhaust(route, countRejected(attemptCounts, outcome.status), retries);
  }
}

/** Whether a hedged request may be sent while the first attempt is outstanding. */
export function mayHedge(
  { kind, attempts }: RetryInput['route'],
  attemptCounts: AttemptCounts,
): boolean {
  return kind === 'repeatable' && attemptCounts.reached + 1 < attempts;
}

/**
 * A misdirected request never reached its target, so it does not count against the route's limit.
 */
function countRejected(attemptCounts: AttemptCounts, status: number): AttemptCounts {
  if (status === MISDIRECTED_REQUEST_STATUS)
    return { ...attemptCounts, unreached: attemptCounts.unreached + 1 };
  return { ...attemptCounts, reached: attemptCounts.reached + 1 };
}

function retryOrExhaust(
  { attempts }: RetryInput['route'],
  attemptCounts: AttemptCounts,
  retries: boolean,
): NextStep {
  const isExhausted =
    attemptCounts.reached >= attempts || attemptCounts.unreached >= UNREACHABLE_TARGET_LIMIT;
  return isExhausted || !retries
    ? { kind: 'exhausted', attemptCounts }
    : { kind: 'try-another', attemptCounts };
}

/**
 * Whether a request with an unknown outcome may be sent again. For a resumable stream this saves the
 * caller one of its own attempts.
 */
function isRetrySafe({ kind, isResumable }: RetryInput['route']): boolean {
  return kind === 'repeatable' || (kind === 'stream' && isResumable);
}

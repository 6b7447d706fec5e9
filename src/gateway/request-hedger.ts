import type { Clock } from '../core';
import { HedgeBudget, LatencyQuantiles } from '../decisions';
import type { AttemptOutcome } from './attempt';

/** Quantile of a route's latency after which a call is hedged. */
const HEDGE_QUANTILE = 0.98;

/** Bounds the additional load when many calls are late at once. */
const HEDGES_PER_CALL = 0.05;

const LOWEST_SERVER_ERROR_STATUS = 500;

export interface HedgedResult {
  readonly outcome: AttemptOutcome;
  readonly attemptCount: 1 | 2;
}

export interface RequestHedgerOptions {
  readonly clock: Clock;
}

export interface HedgedCall {
  readonly route: string;
  readonly first: Promise<AttemptOutcome>;
  /** Starts an attempt at another target; undefined if there is none. */
  readonly startSecondAttempt: () => Promise<AttemptOutcome> | undefined;
}

/**
 * Hedges repeatable calls: sends a call to a second target once it takes longer than a high
 * quantile of its route's latency (Dean and Barroso, "The Tail at Scale"). The slower attempt is
 * not cancelled, since that would close its connection.
 */
export class RequestHedger {
  readonly #clock: Clock;
  readonly #latencyQuantiles = new LatencyQuantiles(HEDGE_QUANTILE);
  readonly #budget = new HedgeBudget(HEDGES_PER_CALL);

  constructor({ clock }: RequestHedgerOptions) {
    this.#clock = clock;
  }

  async run({ route, first, startSecondAttempt }: HedgedCall): Promise<HedgedResult> {
    const startedAt = this.#clock.monotonic();
    this.#budget.recordCall();
    const hedgeDelay = this.#latencyQuantiles.quantileOf(route);
    const isLate = hedgeDelay !== undefined && (await this.#isLaterThan(first, hedgeDelay));
    const second = isLate && this.#budget.tryConsume() ? startSecondAttempt() : undefined;
    const outcome = await (second === undefined ? first : firstSuccess(first, second));
    if (second !== undefined) closeUnused([first, second], outcome);
    if (outcome.kind === 'answered')
      this.#latencyQuantiles.record(route, this.#clock.monotonic() - startedAt);
    return { outcome, attemptCount: second === undefined ? 1 : 2 };
  }

  #isLaterThan(attempt: Promise<AttemptOutcome>, milliseconds: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const cancel = this.#clock.after(milliseconds, () => {
        resolve(true);
      });
      attempt.then(() => {
        cancel();
        resolve(false);
      }, reject);
    });
  }
}

/** Resolves with the first successful outcome; if there is none, with the one of higher rank. */
function firstSuccess(
  first: Promise<AttemptOutcome>,
  second: Promise<AttemptOutcome>,
): Promise<AttemptOutcome> {
  return new Promise((resolve, reject) => {
    let earlier: AttemptOutcome | undefined;
    const onOutcome = (outcome: AttemptOutcome) => {
      if (isSuccess(outcome)) resolve(outcome);
      else if (earlier === undefined) earlier = outcome;
      else resolve(rankOf(outcome) > rankOf(earlier) ? outcome : earlier);
    };
    first.then(onOutcome, reject);
    second.then(onOutcome, reject);
  });
}

/** Closes the bodies of the responses that no caller gets, now and later. */
function closeUnused(attempts: readonly Promise<AttemptOutcome>[], used: AttemptOutcome): void {
  for (const attempt of attempts) {
    void attempt.then((outcome) => {
      if (outcome !== used && outcome.kind === 'answered') outcome.body.close();
    });
  }
}

/** A call counts as not run only if neither attempt may have run. */
const OUTCOME_RANKS: Readonly<Record<AttemptOutcome['kind'], number>> = {
  'not-sent': 0,
  'not-run': 1,
  'given-up': 2,
  'no-memory': 2,
  unknown: 3,
  streamed: 4,
  answered: 4,
};

function rankOf(outcome: AttemptOutcome): number {
  const isUnsent = outcome.kind === 'given-up' && !outcome.sent;
  return OUTCOME_RANKS[isUnsent ? 'not-run' : outcome.kind];
}

function isSuccess(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && outcome.status < LOWEST_SERVER_ERROR_STATUS;
}

import type { Clock } from '../core';
import { SendBudget, UsualTimes } from '../decisions';
import type { AttemptOutcome } from './attempt';

/** Share of a route's calls that are answered before a second send; the others are late. */
const USUAL_SHARE = 0.98;

/** Second sends for each call at most, where many are late at once. */
const SEND_SHARE = 0.05;

const SERVER_ERROR = 500;

/** One or two tries of a call, and how the call came out of them. */
export interface SecondSendResult {
  readonly outcome: AttemptOutcome;
  /** Tries that were made. */
  readonly sends: 1 | 2;
}

export interface SecondSendOptions {
  readonly clock: Clock;
}

export interface CallTries {
  readonly route: string;
  readonly first: Promise<AttemptOutcome>;
  /** Begins a try at another target; nothing if there is none. */
  readonly sendAgain: () => Promise<AttemptOutcome> | undefined;
}

/**
 * Sends a call that may be repeated to a second target once it is later than nearly all calls of
 * its route are. Purpose: an answer that is lost, or a target that hangs, costs the usual time of a
 * call in place of its whole time limit. The slower try runs to its end: it is short, and ending it
 * would close its connection.
 */
export class SecondSend {
  readonly #clock: Clock;
  readonly #usual = new UsualTimes(USUAL_SHARE);
  readonly #budget = new SendBudget(SEND_SHARE);

  constructor({ clock }: SecondSendOptions) {
    this.#clock = clock;
  }

  async run({ route, first, sendAgain }: CallTries): Promise<SecondSendResult> {
    const startedAt = this.#clock.monotonic();
    this.#budget.noteCall();
    const usual = this.#usual.of(route);
    const isLate = usual !== undefined && (await this.#isLate(first, usual));
    const second = isLate && this.#budget.take() ? sendAgain() : undefined;
    const outcome = await (second === undefined ? first : better(first, second));
    if (outcome.kind === 'answered') this.#usual.note(route, this.#clock.monotonic() - startedAt);
    return { outcome, sends: second === undefined ? 1 : 2 };
  }

  #isLate(first: Promise<AttemptOutcome>, usual: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const cancel = this.#clock.after(usual, () => {
        resolve(true);
      });
      first.then(() => {
        cancel();
        resolve(false);
      }, reject);
    });
  }
}

/** The first good answer of two tries; if neither is good, what is known of both together. */
function better(
  first: Promise<AttemptOutcome>,
  second: Promise<AttemptOutcome>,
): Promise<AttemptOutcome> {
  return new Promise((resolve, reject) => {
    let earlier: AttemptOutcome | undefined;
    const take = (outcome: AttemptOutcome) => {
      if (isGood(outcome)) resolve(outcome);
      else if (earlier === undefined) earlier = outcome;
      else resolve(rankOf(outcome) > rankOf(earlier) ? outcome : earlier);
    };
    first.then(take, reject);
    second.then(take, reject);
  });
}

/** A call counts as not run only if neither try may have run. */
const RANKS: Readonly<Record<AttemptOutcome['kind'], number>> = {
  'not-sent': 0,
  'not-run': 1,
  'given-up': 2,
  unknown: 3,
  streamed: 4,
  answered: 4,
};

function rankOf({ kind }: AttemptOutcome): number {
  return RANKS[kind];
}

function isGood(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && outcome.status < SERVER_ERROR;
}

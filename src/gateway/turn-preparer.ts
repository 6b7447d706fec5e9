import type { Clock } from '../core';
import type { Route, RouteTable } from '../routes';
import {
  type ReserveOutcome,
  type StoreWatch,
  type TurnClient,
  type TurnRecord,
  TurnsUnavailable,
} from '../turns';
import type { Exchange, Refusal } from './exchange';

/** Longest time spent on budget and chain before a turn is refused; milliseconds. */
const PREPARE_MILLISECONDS = 1500;

/**
 * The same while no quorum of the stores is reached. Stores that are back answer within 5 ms, and a
 * refusal should come within a quarter of the shortest aim, 200 ms; another gateway may do better.
 */
const PREPARE_OUT_OF_REACH_MILLISECONDS = 45;

/** Pause that a refusal asks for where too few stores answered this time; seconds. */
const STORES_RETRY_SECONDS = 0.3;

/**
 * The same while no quorum is reached: processes that all start again take about a second, and a
 * caller asks only a few times.
 */
const OUT_OF_REACH_RETRY_SECONDS = 1;

/** One turn on its way. */
export interface Turn {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly id: string;
  readonly program: string;
  readonly input: Buffer;
}

/** Turns that are continued, oldest first. */
export type Chain = readonly TurnRecord[];

/** What stands before a turn is sent: its chain, or why it is refused. */
export type Preparation =
  | { readonly kind: 'ready'; readonly chain: Chain }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

export interface TurnPreparerOptions {
  readonly turns: Pick<TurnClient, 'reserve' | 'chain' | 'settle'>;
  readonly watch: Pick<StoreWatch, 'reachesQuorum'>;
  readonly clock: Clock;
}

/**
 * Holds a turn to its program's budget, on routes of every kind, and finds what it continues, where
 * the route keeps turns.
 */
export class TurnPreparer {
  readonly #options: TurnPreparerOptions;

  constructor(options: TurnPreparerOptions) {
    this.#options = options;
  }

  async prepare(turn: Turn): Promise<Preparation> {
    const { turns, clock } = this.#options;
    const { head } = turn.exchange;
    const startedAt = clock.monotonic();
    const patience = this.#options.watch.reachesQuorum
      ? PREPARE_MILLISECONDS
      : PREPARE_OUT_OF_REACH_MILLISECONDS;
    const deadline = Math.min(startedAt + patience, turn.exchange.deadline);
    const [reserved, chain] = await Promise.all([
      this.#ask(() => this.#reserve(turn, deadline)),
      this.#ask(() =>
        head.previousTurn === undefined || turn.route.retentionSeconds === undefined
          ? Promise.resolve({ kind: 'found', records: [] } as const)
          : turns.chain(head.previousTurn, deadline),
      ),
    ]);
    turn.exchange.decide({
      step: 'prepare',
      prompt: head.promptTokens,
      parts: head.parts.length,
      budget: head.budget,
      most: head.mostTokens,
      taken: reserved instanceof TurnsUnavailable ? 'unknown' : reserved.taken,
      chain: chain instanceof TurnsUnavailable ? 'unknown' : chain.kind,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
    if (chain instanceof TurnsUnavailable) return refused(this.#storesUnavailable(chain));
    if (chain.kind === 'absent') return refused(NO_SUCH_TURN);
    if (reserved instanceof TurnsUnavailable) return refused(this.#storesUnavailable(reserved));
    if (!reserved.fits) return refused(BUDGET_SPENT);
    return { kind: 'ready', chain: chain.records };
  }

  #storesUnavailable(error: TurnsUnavailable): Refusal {
    const { reachesQuorum } = this.#options.watch;
    return {
      status: 503,
      code: 'turns_unavailable',
      message: `${error.message}; the turn was not run`,
      retryAfterSeconds: reachesQuorum ? STORES_RETRY_SECONDS : OUT_OF_REACH_RETRY_SECONDS,
    };
  }

  #reserve({ exchange, program, id }: Turn, deadline: number): Promise<ReserveOutcome> {
    const { budget, mostTokens } = exchange.head;
    if (budget === undefined) return Promise.resolve({ fits: true, taken: 0 });
    const { turns } = this.#options;
    return turns.reserve({ program, turn: id, most: mostTokens, budget, deadline });
  }

  async #ask<Value>(ask: () => Promise<Value>): Promise<Value | TurnsUnavailable> {
    try {
      return await ask();
    } catch (error) {
      if (error instanceof TurnsUnavailable) return error;
      throw error;
    }
  }

  /** Tells what a turn that is not kept has generated; 0 gives its whole reservation back. */
  settle({ program, id, exchange }: Turn, tokens: number): void {
    if (exchange.head.budget === undefined) return;
    this.#options.turns.settle(program, id, tokens);
  }
}

const NO_SUCH_TURN = {
  status: 404,
  code: 'no_such_turn',
  message: 'the turn that is to be continued does not exist or is kept no longer',
} as const;

const BUDGET_SPENT = {
  status: 402,
  code: 'budget_spent',
  message: 'the turn does not fit in what is left of the budget; it was not run',
} as const;

function refused(refusal: Refusal): Preparation {
  return { kind: 'refused', refusal };
}

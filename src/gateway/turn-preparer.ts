import type { Clock } from '../core';
import { type Admission, type Learned, admitTurn, preparationTime } from '../decisions';
import type { Route, RouteTable } from '../routes';
import {
  type ReserveOutcome,
  type StoreWatch,
  type TurnClient,
  type TurnRecord,
  TurnsUnavailable,
} from '../turns';
import type { Exchange } from './exchange';

/** One turn on its way. */
export interface Turn {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly id: string;
  /** Known within the caller's team only, as are `id` and `previous`. */
  readonly program: string;
  /** The turn that this one continues. */
  readonly previous: string | undefined;
  readonly input: Buffer;
}

/** Turns that are continued, oldest first. */
export type Chain = readonly TurnRecord[];

/** What stands before a turn is sent: its chain, or why it is refused. */
export type PreparedTurn =
  | Extract<Admission<Chain>, { readonly kind: 'refused' }>
  | {
      readonly kind: 'admitted';
      readonly chain: Chain;
      /** Whether its program has generated nothing yet, as far as the stores know. */
      readonly startsProgram: boolean;
    };

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

  async prepare(turn: Turn): Promise<PreparedTurn> {
    const { turns, watch, clock } = this.#options;
    const { previous } = turn;
    const { head } = turn.exchange;
    const startedAt = clock.monotonic();
    const patience = preparationTime(watch.reachesQuorum);
    const deadline = Math.min(startedAt + patience, turn.exchange.deadline);
    const [reserved, chain] = await Promise.all([
      this.#ask(() => this.#reserve(turn, deadline)),
      this.#ask(() =>
        previous === undefined || turn.route.retentionSeconds === undefined
          ? Promise.resolve({ kind: 'found', records: [] } as const)
          : turns.chain(previous, turn.program, deadline),
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
    const admission = admitTurn({
      chain: learned(chain, (told) => (told.kind === 'found' ? told.records : undefined)),
      fitsBudget: learned(reserved, ({ fits }) => fits),
      reachesQuorum: watch.reachesQuorum,
    });
    if (admission.kind === 'refused') return admission;
    const taken = reserved instanceof TurnsUnavailable ? 0 : reserved.taken;
    const startsProgram = previous === undefined && taken === 0;
    return { ...admission, startsProgram };
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

/** What the stores have told, or that they could not be asked. */
function learned<Told, Value>(
  told: Told | TurnsUnavailable,
  read: (told: Told) => Value,
): Learned<Value> {
  if (told instanceof TurnsUnavailable) return { kind: 'unavailable', reason: told.message };
  return { kind: 'known', value: read(told) };
}

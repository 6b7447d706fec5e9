import { type Clock, bothSettled } from '../core';
import { type Admission, type StoreResult, admitTurn, preparationTimeout } from '../decisions';
import type { Route, RouteTable } from '../routes';
import {
  type ReserveOutcome,
  type QuorumMonitor,
  type TurnClient,
  type TurnRecord,
  TurnsUnavailableError,
} from '../turns';
import type { Exchange } from './exchange';
import type { RequestHolds } from './request-holds';

/** Maximum number of turns that hold a budget in the log line of a turn that does not fit. */
const LOGGED_HOLDERS = 8;

/** A turn being handled. */
export interface Turn {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly id: string;
  /** Scoped to the caller's team, like `id` and `previous`. */
  readonly program: string;
  /** Id of the turn that this one continues. */
  readonly previous: string | undefined;
  readonly input: Buffer;
  readonly holds: RequestHolds;
}

/** Turns that a turn continues, oldest first. */
export type Chain = readonly TurnRecord[];

/** The chain of an admitted turn, or the refusal. */
export type PreparedTurn =
  | Extract<Admission<Chain>, { readonly kind: 'refused' }>
  | {
      readonly kind: 'admitted';
      readonly chain: Chain;
      /** Whether the program has not generated any tokens yet, according to the stores. */
      readonly startsProgram: boolean;
    };

export interface TurnPreparerOptions {
  readonly turns: Pick<TurnClient, 'reserve' | 'chain' | 'settle'>;
  readonly quorumMonitor: Pick<QuorumMonitor, 'reachesQuorum'>;
  readonly clock: Clock;
}

/**
 * Reserves a turn's tokens in its program's budget and, on routes that record turns, reads the
 * turns that it continues.
 */
export class TurnPreparer {
  readonly #options: TurnPreparerOptions;

  constructor(options: TurnPreparerOptions) {
    this.#options = options;
  }

  async prepare(turn: Turn): Promise<PreparedTurn> {
    const { turns, quorumMonitor, clock } = this.#options;
    const { previous } = turn;
    const { head } = turn.exchange;
    const startedAt = clock.monotonic();
    const preparationMilliseconds = preparationTimeout(quorumMonitor.reachesQuorum);
    const deadline = Math.min(startedAt + preparationMilliseconds, turn.exchange.deadline);
    const [reserved, chain] = await bothSettled([
      this.#catchUnavailable(() => this.#reserve(turn, deadline)),
      this.#catchUnavailable(() =>
        previous === undefined || turn.route.retentionSeconds === undefined
          ? Promise.resolve({ kind: 'found', records: [] } as const)
          : turns.chain(previous, turn.program, deadline),
      ),
    ]);
    turn.exchange.recordDecision({
      step: 'prepare',
      prompt: head.promptTokens,
      parts: head.parts.length,
      budget: head.budget,
      most: head.maxTokens,
      ...(reserved instanceof TurnsUnavailableError
        ? { taken: 'unknown' }
        : { taken: reserved.committedTokens, ...describeHolders(reserved) }),
      chain: chain instanceof TurnsUnavailableError ? 'unknown' : chain.kind,
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
    const admission = admitTurn({
      chain: toStoreResult(chain, (lookup) =>
        lookup.kind === 'found' ? lookup.records : undefined,
      ),
      fitsBudget: toStoreResult(reserved, ({ fits }) => fits),
      reachesQuorum: quorumMonitor.reachesQuorum,
    });
    if (admission.kind === 'refused') return admission;
    const committedTokens =
      reserved instanceof TurnsUnavailableError ? 0 : reserved.committedTokens;
    const startsProgram = previous === undefined && committedTokens === 0;
    return { ...admission, startsProgram };
  }

  #reserve({ exchange, program, id }: Turn, deadline: number): Promise<ReserveOutcome> {
    const { budget, maxTokens } = exchange.head;
    if (budget === undefined)
      return Promise.resolve({ fits: true, committedTokens: 0, holders: [] });
    const { turns } = this.#options;
    return turns.reserve({ program, turn: id, maxTokens, budget, deadline });
  }

  async #catchUnavailable<Value>(
    query: () => Promise<Value>,
  ): Promise<Value | TurnsUnavailableError> {
    try {
      return await query();
    } catch (error) {
      if (error instanceof TurnsUnavailableError) return error;
      throw error;
    }
  }

  /** Reports the tokens that a turn without a record generated; 0 releases its reservation. */
  settle({ program, id, exchange }: Turn, tokens: number): void {
    if (exchange.head.budget === undefined) return;
    exchange.recordDecision({ step: 'reservation', outcome: 'settled', tokens });
    this.#options.turns.settle(program, id, tokens);
  }

  /** Logs that the reservation of a turn that may have run stays at the turn's maximum. */
  logKept({ exchange }: Turn): void {
    const { budget, maxTokens } = exchange.head;
    if (budget === undefined) return;
    exchange.recordDecision({ step: 'reservation', outcome: 'kept', tokens: maxTokens });
  }
}

/** Names the turns that hold a budget in which a turn does not fit, unsettled ones first. */
function describeHolders({ fits, holders }: ReserveOutcome): Record<string, unknown> {
  if (fits) return {};
  const unsettledFirst = [...holders].sort(
    (left, right) => Number(left.settled) - Number(right.settled),
  );
  return { holderCount: holders.length, holders: unsettledFirst.slice(0, LOGGED_HOLDERS) };
}

function toStoreResult<Result, Value>(
  result: Result | TurnsUnavailableError,
  read: (result: Result) => Value,
): StoreResult<Value> {
  if (result instanceof TurnsUnavailableError)
    return { kind: 'unavailable', reason: result.message };
  return { kind: 'known', value: read(result) };
}

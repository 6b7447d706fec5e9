import { type Clock, type Logger, MartenbayError, type Metrics } from '../core';
import type { EngineSettings, Route, RouteTable } from '../routes';
import type { Placement, PlacementRequest } from '../targets';
import {
  type ReserveOutcome,
  type StoreWatch,
  type TurnClient,
  type TurnRecord,
  TurnsUnavailable,
} from '../turns';
import type { Attempt } from './attempt';
import { BODY_TOO_LARGE, placementOf } from './call-handler';
import { EventOutput } from './event-output';
import type { Exchange, Refusal } from './exchange';
import type { ForwardOutcome, Forwarder } from './forwarder';

/** Longest time spent on budget and chain before a turn is refused; milliseconds. */
const PREPARE_MILLISECONDS = 1500;

/**
 * The same while no quorum of the stores is reached. Stores that are back answer within 5 ms, and a
 * refusal should come within a quarter of the shortest aim, 200 ms; another gateway may do better.
 */
const PREPARE_OUT_OF_REACH_MILLISECONDS = 45;

/** Shortest time for which a whole turn is tried to be kept; milliseconds. */
const RECORD_MILLISECONDS = 2500;

/** Pause that a refusal asks for where too few stores answered this time; seconds. */
const STORES_RETRY_SECONDS = 0.3;

/**
 * The same while no quorum is reached: processes that all start again take about a second, and a
 * caller asks only a few times.
 */
const OUT_OF_REACH_RETRY_SECONDS = 1;

export interface TurnHandlerOptions {
  readonly forwarder: Forwarder;
  readonly turns: TurnClient;
  readonly watch: Pick<StoreWatch, 'reachesQuorum'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** One turn on its way. */
interface Turn {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly id: string;
  readonly program: string;
  readonly input: Buffer;
}

type Chain = readonly TurnRecord[];

/** What stands before a turn is sent: its chain, or why it is refused. */
type Preparation =
  | { readonly kind: 'ready'; readonly chain: Chain }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Streams turns of engines, whose chains and budgets the system keeps. */
export class TurnHandler {
  readonly #options: TurnHandlerOptions;

  constructor(options: TurnHandlerOptions) {
    this.#options = options;
  }

  async handle(exchange: Exchange, route: Route, table: RouteTable): Promise<void> {
    const input = await exchange.readBody(table.configuration.limits.bodyBytes);
    if (input === 'gone') {
      exchange.log('gone');
      return;
    }
    if (input === 'too-large') {
      exchange.refuse(BODY_TOO_LARGE);
      return;
    }
    const { id } = exchange.head;
    if (id === undefined) {
      exchange.refuse(NO_ID);
      return;
    }
    const program = exchange.head.program ?? id;
    const turn: Turn = { exchange, route, table, id, program, input };
    const isKept = route.retentionSeconds !== undefined;
    const preparation = isKept ? await this.#prepare(turn) : READY;
    if (preparation.kind === 'refused') {
      this.#release(turn);
      exchange.refuse(preparation.refusal);
      return;
    }
    await this.#send(turn, preparation.chain);
  }

  async #prepare(turn: Turn): Promise<Preparation> {
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
        head.previousTurn === undefined
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

  async #send(turn: Turn, chain: Chain): Promise<void> {
    const { exchange, route, table } = turn;
    const output = new EventOutput();
    let attempt: Attempt | undefined;
    let placed: Placement | undefined;
    exchange.response.on('drain', () => attempt?.resume());
    const outcome = await this.#options.forwarder.forward({
      exchange,
      route,
      table,
      body: buildBody(chain, turn.input),
      placement: placementWith(exchange, chain),
      priority: enginePriority(route),
      onAttempt: (started, placement) => {
        attempt = started;
        placed = placement;
      },
      receiver: {
        begin: (status, headers) => {
          exchange.begin(status, headers);
        },
        take: (chunk) => {
          output.push(chunk);
          return exchange.response.write(chunk);
        },
      },
    });
    await this.#finish(turn, outcome, output, placed);
  }

  async #finish(
    turn: Turn,
    outcome: ForwardOutcome,
    output: EventOutput,
    placed: Placement | undefined,
  ): Promise<void> {
    const { exchange } = turn;
    switch (outcome.kind) {
      case 'streamed':
        await this.#complete(turn, output, placed);
        return;
      case 'answered':
        if (outcome.status < 500) this.#release(turn);
        exchange.answer(outcome.status, outcome.headers, outcome.body);
        return;
      case 'gone':
        exchange.log('gone', { events: output.count });
        return;
      case 'refused':
        if (outcome.isNotRun) this.#release(turn);
        if (outcome.began) exchange.breakOff(outcome.refusal.message);
        else exchange.refuse(outcome.refusal);
    }
  }

  /** The answer is whole for the caller only once the turn lasts. */
  async #complete(turn: Turn, output: EventOutput, placed: Placement | undefined): Promise<void> {
    const { exchange, route, table, id, program, input } = turn;
    const { clock, turns, metrics } = this.#options;
    const engine = engineOf(table, placed);
    const tokens = output.count * (engine?.tokensPerEvent ?? 1);
    placed?.state.noteParts(exchange.head.parts, tokens, engine?.cacheTokens ?? Infinity);
    if (route.retentionSeconds !== undefined) {
      const startedAt = clock.monotonic();
      try {
        await turns.record(
          {
            id,
            program,
            previous: exchange.head.previousTurn,
            input,
            output: output.toBuffer(),
            tokens,
            contextTokens: exchange.head.promptTokens + tokens,
            endedAt: clock.now(),
            retentionSeconds: route.retentionSeconds,
            target: placed?.state.target.id ?? '',
          },
          Math.max(exchange.deadline, startedAt + RECORD_MILLISECONDS),
        );
      } catch (error) {
        if (!(error instanceof MartenbayError)) throw error;
        exchange.breakOff(`the turn could not be kept: ${error.message}`);
        return;
      }
      metrics.observe('turn_kept', clock.monotonic() - startedAt);
    }
    if (!exchange.hasLeft()) exchange.response.end();
    exchange.log(exchange.hasLeft() ? 'gone' : 'answered', { status: 200, events: output.count });
  }

  #release({ program, id, exchange, route }: Turn): void {
    const isKept = route.retentionSeconds !== undefined && exchange.head.budget !== undefined;
    if (isKept) this.#options.turns.release(program, id);
  }
}

const READY: Preparation = { kind: 'ready', chain: [] };

const NO_ID = {
  status: 400,
  code: 'bad_request',
  message: 'the request carries no id; give each attempt one of its own',
} as const;

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

/** Inputs and outputs of the chain, oldest first, then the new input. */
function buildBody(chain: Chain, input: Buffer): Buffer {
  const parts = chain.flatMap((record) => [record.input, record.output]);
  return parts.length === 0 ? input : Buffer.concat([...parts, input]);
}

/** The engine of the last turn holds all that was said before. */
function placementWith(exchange: Exchange, chain: Chain): PlacementRequest {
  const last = chain.at(-1);
  const placement = placementOf(exchange);
  if (last === undefined) return placement;
  const heldTokens = Math.min(last.contextTokens, placement.promptTokens);
  return { ...placement, lastTarget: last.target, heldTokens };
}

/** Engines know 0 to 9 and take 5 where nothing is said. */
const ENGINE_PRIORITY = { first: 2, step: 3, last: 9 };

function enginePriority({ priority }: Route): number {
  const { first, step, last } = ENGINE_PRIORITY;
  return Math.min(first + priority * step, last);
}

function engineOf(table: RouteTable, placed: Placement | undefined): EngineSettings | undefined {
  return placed === undefined ? undefined : table.service(placed.state.target.service)?.engine;
}

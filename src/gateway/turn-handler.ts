import type { ResponseLimits } from '../http';
import { type Clock, MartenbayError, type Metrics, bothSettled } from '../core';
import type { Refusal } from '../decisions';
import type { EngineSettings, Route, RouteTable } from '../routes';
import { teamScopedId } from '../teams';
import type { Placement, PlacementRequest, TargetChooser } from '../targets';
import type { TurnClient } from '../turns';
import type { Attempt } from './attempt';
import { endWithoutBody } from './body-refusal';
import { placementOf } from './call-handler';
import type { EngineAdmission } from './engine-admission';
import { EventDataCollector } from './event-data-collector';
import type { Exchange } from './exchange';
import type { ForwardOutcome, Forwarder } from './forwarder';
import type { QuotaGate, QuotaAdmission } from './quota-gate';
import { RequestHolds } from './request-holds';
import type { Chain, PreparedTurn, Turn, TurnPreparer } from './turn-preparer';

/** Time to record a completed turn, even if the deadline of its request is earlier. */
const MINIMUM_RECORD_TIMEOUT_MILLISECONDS = 2500;

export interface TurnHandlerOptions {
  readonly forwarder: Forwarder;
  readonly preparer: TurnPreparer;
  readonly quotaGate: Pick<QuotaGate, 'requestAdmission'>;
  readonly turns: Pick<TurnClient, 'record' | 'hasRoomFor'>;
  readonly engineAdmission: Pick<EngineAdmission, 'findRefusal' | 'run'>;
  readonly chooser: Pick<TargetChooser, 'recordParts'>;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** A turn that was forwarded. */
interface SentTurn extends Turn {
  readonly chain: Chain;
  readonly output: EventDataCollector;
  /** Undefined if no attempt was made. */
  readonly lastPlacement: Placement | undefined;
}

/** Streams turns from engines, and enforces budgets and records turns. */
export class TurnHandler {
  readonly #options: TurnHandlerOptions;

  constructor(options: TurnHandlerOptions) {
    this.#options = options;
  }

  async handle(exchange: Exchange, route: Route, table: RouteTable): Promise<void> {
    const holds = new RequestHolds();
    try {
      await this.#receive({ exchange, route, table, holds });
    } finally {
      holds.close();
    }
  }

  async #receive(request: Pick<Turn, 'exchange' | 'route' | 'table' | 'holds'>): Promise<void> {
    const { exchange, route, table, holds } = request;
    const admission = this.#options.quotaGate.requestAdmission(
      exchange,
      startsProgram(exchange, route),
    );
    holds.add(() => {
      admission.refund();
    });
    const input = await exchange.readBody(table.configuration.limits.bodyBytes);
    const { id, program = id, previousTurn } = exchange.head;
    if (typeof input === 'string') {
      endWithoutBody(exchange, input);
      return;
    }
    if (id === undefined || program === undefined) {
      exchange.refuse(MISSING_ID);
      return;
    }
    if (route.retentionSeconds !== undefined && exchange.resumesStream) {
      exchange.refuse(RESUMED_TURN);
      return;
    }
    if (route.retentionSeconds !== undefined && !this.#options.turns.hasRoomFor(input.length)) {
      exchange.refuse(STORES_FULL);
      return;
    }
    const scopeToTeam = (callerId: string) => teamScopedId(exchange.team, callerId);
    const previous = previousTurn === undefined ? undefined : scopeToTeam(previousTurn);
    const ids = { id: scopeToTeam(id), program: scopeToTeam(program), previous };
    await this.#handleTurn({ ...request, ...ids, input }, admission);
  }

  async #handleTurn(turn: Turn, admission: QuotaAdmission): Promise<void> {
    const { exchange, route, holds } = turn;
    const earlyQuotaRefusal = startsProgram(exchange, route)
      ? await admission.refusal()
      : undefined;
    if (earlyQuotaRefusal !== undefined) {
      exchange.refuse(earlyQuotaRefusal);
      return;
    }
    if (exchange.hasDisconnected()) {
      exchange.log('gone');
      return;
    }
    const { preparer } = this.#options;
    holds.add(() => {
      preparer.settle(turn, 0);
    });
    const [preparation, quotaRefusal] = await bothSettled([
      preparer.prepare(turn),
      admission.refusal(),
    ]);
    const refusal = quotaRefusal ?? this.#findRefusal(turn, preparation);
    if (refusal !== undefined) {
      holds.release();
      exchange.refuse(refusal);
    } else if (preparation.kind === 'admitted') await this.#send(turn, preparation.chain);
  }

  #findRefusal(turn: Turn, preparation: PreparedTurn): Refusal | undefined {
    if (preparation.kind === 'refused') return preparation.refusal;
    return this.#options.engineAdmission.findRefusal(turn, preparation.startsProgram);
  }

  async #send(turn: Turn, chain: Chain): Promise<void> {
    const { exchange, route, table, holds } = turn;
    const { forwarder, engineAdmission } = this.#options;
    const isRecorded = route.retentionSeconds !== undefined;
    const output = new EventDataCollector(isRecorded ? exchange.openAccount() : undefined);
    let attempt: Attempt | undefined;
    let lastPlacement: Placement | undefined;
    exchange.response.on('drain', () => attempt?.resume());
    const request = {
      exchange,
      route,
      table,
      body: buildBody(chain, turn.input),
      input: turn.input,
      placement: placementAfter(exchange, chain),
      responseLimits: (placement: Placement) =>
        limitsOfTurn(exchange.head.maxTokens, engineOf(table, placement)),
      onAttempt: (started: Attempt, placement: Placement) => {
        holds.markAttempted();
        attempt = started;
        lastPlacement = placement;
      },
      receiver: {
        begin: (status: number, headers: readonly string[]) => {
          exchange.beginResponse(status, headers);
        },
        write: (chunk: Buffer) => {
          output.push(chunk);
          return exchange.response.write(chunk);
        },
      },
    };
    const outcome = await engineAdmission.run(turn, (priority) =>
      forwarder.forward({ ...request, priority }),
    );
    await this.#finish({ ...turn, chain, output, lastPlacement }, outcome);
  }

  async #finish(turn: SentTurn, outcome: ForwardOutcome): Promise<void> {
    const { exchange, output } = turn;
    switch (outcome.kind) {
      case 'streamed':
        await this.#complete(turn);
        return;
      case 'answered':
        if (outcome.status < 500) this.#options.preparer.settle(turn, 0);
        else this.#options.preparer.logKept(turn);
        await exchange.respond(outcome.status, outcome.headers, outcome.body);
        return;
      case 'caller-disconnected':
        this.#endHolds(turn, outcome.isNotRun);
        exchange.log('gone', { events: output.count });
        return;
      case 'refused':
        this.#endHolds(turn, outcome.isNotRun);
        if (outcome.began) exchange.abort(outcome.refusal.message);
        else exchange.refuse(outcome.refusal);
    }
  }

  #endHolds(turn: Turn, isNotRun: boolean): void {
    if (isNotRun) turn.holds.release();
    else this.#options.preparer.logKept(turn);
  }

  /** Ends the response only after the turn is recorded, so that the caller can continue it. */
  async #complete(turn: SentTurn): Promise<void> {
    const { exchange, route, table, id, program, previous, input } = turn;
    const { chain, output, lastPlacement } = turn;
    const { clock, turns, metrics, preparer, chooser } = this.#options;
    const engine = engineOf(table, lastPlacement);
    const tokens = output.count * (engine?.tokensPerEvent ?? 1);
    if (lastPlacement !== undefined) {
      const cacheCapacityTokens = engine?.cacheTokens ?? Infinity;
      chooser.recordParts(lastPlacement.state, exchange.head.parts, tokens, cacheCapacityTokens);
    }
    if (route.retentionSeconds === undefined) {
      preparer.settle(turn, tokens);
    } else {
      const startedAt = clock.monotonic();
      try {
        await turns.record(
          {
            id,
            program,
            previous,
            input,
            output: output.toBuffer(),
            tokens,
            contextTokens: exchange.head.promptTokens + tokens,
            endedAt: clock.now(),
            retentionSeconds: route.retentionSeconds,
            target: lastPlacement?.state.target.id ?? '',
          },
          Math.max(exchange.deadline, startedAt + MINIMUM_RECORD_TIMEOUT_MILLISECONDS),
          chain,
        );
      } catch (error) {
        if (!(error instanceof MartenbayError)) throw error;
        exchange.abort(`the turn could not be kept: ${error.message}`);
        return;
      }
      metrics.observe('turn_kept', clock.monotonic() - startedAt);
    }
    if (!exchange.hasDisconnected()) exchange.response.end();
    exchange.log(exchange.hasDisconnected() ? 'gone' : 'answered', {
      status: 200,
      events: output.count,
    });
  }
}

const STORES_FULL = {
  status: 503,
  code: 'turns_unavailable',
  message: 'the stores have no memory for a turn of this size at present; it was not run',
  retryAfterSeconds: 1,
} as const;

/** A turn is kept with all its events, of which a resumed stream has only the last ones. */
const RESUMED_TURN = {
  status: 400,
  code: 'bad_request',
  message:
    'the route keeps turns, which cannot be resumed; send the turn without Last-Event-ID; it was not run',
} as const;

const MISSING_ID = {
  status: 400,
  code: 'bad_request',
  message: 'the request carries no id; give each attempt one of its own',
} as const;

/**
 * Whether a turn is the first of its program according to its headers. On routes that record turns,
 * every later turn names the previous one; on other routes this is unknown, and false.
 */
function startsProgram({ head }: Exchange, route: Route): boolean {
  const recordsTurns = route.retentionSeconds !== undefined;
  return recordsTurns && head.program !== undefined && head.previousTurn === undefined;
}

/** Concatenates the inputs and outputs of the chain, oldest first, and the new input. */
function buildBody(chain: Chain, input: Buffer): Buffer {
  const parts = chain.flatMap((record) => [record.input, record.output]);
  return parts.length === 0 ? input : Buffer.concat([...parts, input]);
}

/** A token takes a few bytes in an event, and some hundred with the engine's remarks about it. */
const EVENT_LIMIT_BYTES = 64 * 1024;

/** Events besides those with tokens, such as one that ends the stream. */
const EVENTS_WITHOUT_TOKENS = 4;

/** Bounds the answer by the tokens that the caller asked for, if it has told them. */
function limitsOfTurn(
  maxTokens: number,
  engine: EngineSettings | undefined,
): Partial<ResponseLimits> {
  const eventBytes = EVENT_LIMIT_BYTES;
  if (maxTokens <= 0 || engine === undefined) return { eventBytes };
  const events = Math.ceil(maxTokens / engine.tokensPerEvent) + EVENTS_WITHOUT_TOKENS;
  return { eventBytes, events };
}

/** The engine of the last turn has the whole conversation in its cache. */
function placementAfter(exchange: Exchange, chain: Chain): PlacementRequest {
  const last = chain.at(-1);
  const placement = placementOf(exchange);
  if (last === undefined) return placement;
  const cachedTokens = Math.min(last.contextTokens, placement.promptTokens);
  return { ...placement, lastTarget: last.target, cachedTokens, lastTurnEndedAt: last.endedAt };
}

function engineOf(
  table: RouteTable,
  lastPlacement: Placement | undefined,
): EngineSettings | undefined {
  return lastPlacement === undefined
    ? undefined
    : table.service(lastPlacement.state.target.service)?.engine;
}

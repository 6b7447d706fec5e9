import { type Clock, MartenbayError, type Metrics, type RandomSource } from '../core';
import {
  type DecisionSwitches,
  type Refusal,
  enginePriority,
  refuseInOverload,
} from '../decisions';
import type { EngineSettings, Route, RouteTable } from '../routes';
import type { Placement, PlacementRequest, TargetChooser } from '../targets';
import type { TurnClient } from '../turns';
import type { Attempt } from './attempt';
import { BODY_TOO_LARGE, placementOf } from './call-handler';
import { EventOutput } from './event-output';
import type { Exchange } from './exchange';
import type { ForwardOutcome, Forwarder } from './forwarder';
import type { Chain, Turn, TurnPreparer } from './turn-preparer';

/** Shortest time for which a whole turn is tried to be kept; milliseconds. */
const RECORD_MILLISECONDS = 2500;

export interface TurnHandlerOptions {
  readonly forwarder: Forwarder;
  readonly preparer: TurnPreparer;
  readonly turns: Pick<TurnClient, 'record'>;
  readonly chooser: Pick<TargetChooser, 'noteParts' | 'loadOf'>;
  readonly switches: DecisionSwitches;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
}

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
    const { preparer } = this.#options;
    const preparation = await preparer.prepare(turn);
    const refusal =
      preparation.kind === 'refused'
        ? preparation.refusal
        : this.#refuseInOverload(turn, preparation.startsProgram);
    if (refusal !== undefined) preparer.settle(turn, 0);
    if (refusal !== undefined) exchange.refuse(refusal);
    else if (preparation.kind === 'admitted') await this.#send(turn, preparation.chain);
  }

  #refuseInOverload({ exchange, route }: Turn, startsProgram: boolean): Refusal | undefined {
    const { chooser, switches, random } = this.#options;
    if (!startsProgram || !switches['overload-refusals']) return undefined;
    const services = route.services.map(({ service }) => service);
    const { load, slots } = chooser.loadOf(services);
    exchange.decide({ step: 'overload', load, slots });
    const service = services.join(', ');
    return refuseInOverload({ service, load, slots, startsProgram }, random);
  }

  async #send(turn: Turn, chain: Chain): Promise<void> {
    const { exchange, route, table } = turn;
    const { forwarder, switches } = this.#options;
    const output = new EventOutput();
    let attempt: Attempt | undefined;
    let placed: Placement | undefined;
    exchange.response.on('drain', () => attempt?.resume());
    const outcome = await forwarder.forward({
      exchange,
      route,
      table,
      body: buildBody(chain, turn.input),
      placement: placementWith(exchange, chain),
      priority: switches['engine-priorities'] ? enginePriority(route) : undefined,
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
        if (outcome.status < 500) this.#options.preparer.settle(turn, 0);
        exchange.answer(outcome.status, outcome.headers, outcome.body);
        return;
      case 'gone':
        exchange.log('gone', { events: output.count });
        return;
      case 'refused':
        if (outcome.isNotRun) this.#options.preparer.settle(turn, 0);
        if (outcome.began) exchange.breakOff(outcome.refusal.message);
        else exchange.refuse(outcome.refusal);
    }
  }

  /** The answer is whole for the caller only once the turn lasts. */
  async #complete(turn: Turn, output: EventOutput, placed: Placement | undefined): Promise<void> {
    const { exchange, route, table, id, program, input } = turn;
    const { clock, turns, metrics, preparer, chooser } = this.#options;
    const engine = engineOf(table, placed);
    const tokens = output.count * (engine?.tokensPerEvent ?? 1);
    if (placed !== undefined) {
      const memoryTokens = engine?.cacheTokens ?? Infinity;
      chooser.noteParts(placed.state, exchange.head.parts, tokens, memoryTokens);
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
}

const NO_ID = {
  status: 400,
  code: 'bad_request',
  message: 'the request carries no id; give each attempt one of its own',
} as const;

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

function engineOf(table: RouteTable, placed: Placement | undefined): EngineSettings | undefined {
  return placed === undefined ? undefined : table.service(placed.state.target.service)?.engine;
}

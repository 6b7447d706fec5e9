import { type Clock, MartenbayError, type Metrics, type RandomSource } from '../core';
import {
  type DecisionSwitches,
  type Refusal,
  enginePriority,
  refuseInOverload,
} from '../decisions';
import type { EngineSettings, Route, RouteTable } from '../routes';
import { idWithinTeam } from '../teams';
import type { Placement, PlacementRequest, TargetChooser } from '../targets';
import type { TurnClient } from '../turns';
import type { Attempt } from './attempt';
import { BODY_TOO_LARGE, placementOf } from './call-handler';
import { EventOutput } from './event-output';
import type { Exchange } from './exchange';
import type { ForwardOutcome, Forwarder } from './forwarder';
import type { QuotaGate, QuotaPass } from './quota-gate';
import type { Chain, PreparedTurn, Turn, TurnPreparer } from './turn-preparer';

/** Shortest time for which a whole turn is tried to be kept; milliseconds. */
const RECORD_MILLISECONDS = 2500;

export interface TurnHandlerOptions {
  readonly forwarder: Forwarder;
  readonly preparer: TurnPreparer;
  readonly quotaGate: Pick<QuotaGate, 'ask'>;
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
    const pass = this.#options.quotaGate.ask(exchange, startsProgram(exchange, route));
    const input = await exchange.readBody(table.configuration.limits.bodyBytes);
    const { id, program = id, previousTurn } = exchange.head;
    if (typeof input === 'string' || id === undefined || program === undefined) {
      pass.giveBack();
      if (input === 'gone') exchange.log('gone');
      else exchange.refuse(input === 'too-large' ? BODY_TOO_LARGE : NO_ID);
      return;
    }
    const own = (callersId: string) => idWithinTeam(exchange.team, callersId);
    const previous = previousTurn === undefined ? undefined : own(previousTurn);
    await this.#handle(
      { exchange, route, table, id: own(id), program: own(program), previous, input },
      pass,
    );
  }

  async #handle(turn: Turn, pass: QuotaPass): Promise<void> {
    const { exchange, route } = turn;
    const beyondQuota = startsProgram(exchange, route) ? await pass.refusal() : undefined;
    if (beyondQuota !== undefined) {
      exchange.refuse(beyondQuota);
      return;
    }
    const { preparer } = this.#options;
    const [preparation, refusedByQuota] = await Promise.all([
      preparer.prepare(turn),
      pass.refusal(),
    ]);
    const refusal = refusedByQuota ?? this.#refuse(turn, preparation);
    if (refusal !== undefined) {
      preparer.settle(turn, 0);
      pass.giveBack();
      exchange.refuse(refusal);
    } else if (preparation.kind === 'admitted') await this.#send(turn, preparation.chain, pass);
  }

  #refuse(turn: Turn, preparation: PreparedTurn): Refusal | undefined {
    if (preparation.kind === 'refused') return preparation.refusal;
    return this.#refuseInOverload(turn, preparation.startsProgram);
  }

  #refuseInOverload({ exchange, route }: Turn, begins: boolean): Refusal | undefined {
    const { chooser, switches, random } = this.#options;
    if (!begins || !switches['overload-refusals']) return undefined;
    const services = route.services.map(({ service }) => service);
    const { load, slots } = chooser.loadOf(services);
    exchange.decide({ step: 'overload', load, slots });
    const service = services.join(', ');
    return refuseInOverload({ service, load, slots, startsProgram: begins }, random);
  }

  async #send(turn: Turn, chain: Chain, pass: QuotaPass): Promise<void> {
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
      priority: switches['engine-priorities'] ? enginePriority(route, exchange.team) : undefined,
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
    if (outcome.kind === 'refused' && outcome.isNotRun) pass.giveBack();
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
    const { exchange, route, table, id, program, previous, input } = turn;
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
            previous,
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

/**
 * Whether a turn is the first of its program, as far as its head tells: on routes that keep turns, every
 * other turn names the one before it.
 */
function startsProgram({ head }: Exchange, route: Route): boolean {
  const isKept = route.retentionSeconds !== undefined;
  return isKept && head.program !== undefined && head.previousTurn === undefined;
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

function engineOf(table: RouteTable, placed: Placement | undefined): EngineSettings | undefined {
  return placed === undefined ? undefined : table.service(placed.state.target.service)?.engine;
}

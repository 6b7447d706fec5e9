import type { Clock, Logger, Metrics, RandomSource } from '../core';
import type { Route, RouteTable } from '../routes';
import { pickService } from '../routes';
import {
  type Placement,
  type PlacementRequest,
  type Placer,
  type TargetConnections,
  type TargetDirectory,
  type TargetState,
} from '../targets';
import { type AnswerReceiver, Attempt, type AttemptOutcome, MISDIRECTED } from './attempt';
import type { Exchange, Refusal } from './exchange';
import { SecondSend, type SecondSendResult } from './second-send';
import type { Wire } from './wire';

/** Targets that could not be reached before a request is refused. */
const UNREACHED_LIMIT = 4;

/** Shortest and longest pause that a refusal asks for; seconds. */
const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 1 };

/** Lowest status by which a target says that it failed. */
const SERVER_ERROR = 500;

/** Time that one request in front of another costs it, roughly; seconds. */
const TURN_SECONDS = 0.1;

export interface ForwarderOptions {
  readonly wire: Wire;
  readonly targets: TargetDirectory;
  readonly connections: TargetConnections;
  readonly enginePlacer: Placer;
  readonly slotPlacer: Placer;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What is to be sent, and where its answer goes. */
export interface ForwardRequest {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly body: Buffer | null;
  readonly placement: PlacementRequest;
  readonly priority?: number | undefined;
  readonly receiver?: AnswerReceiver | undefined;
  /** Told of the try that is under way, so that a paused answer can go on. */
  readonly onAttempt?: (attempt: Attempt, placement: Placement) => void;
}

/** How a request ended at the targets. */
export type ForwardOutcome =
  | Extract<AttemptOutcome, { kind: 'answered' | 'streamed' }>
  | { readonly kind: 'gone' }
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** Whether a part of an answer went to the caller already. */
      readonly began: boolean;
      /** Whether it is certain that no target has run the request. */
      readonly isNotRun: boolean;
    };

/** Sends requests to targets, again where it is certain that nothing is done twice. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #secondSend: SecondSend;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#secondSend = new SecondSend(options);
  }

  async forward(request: ForwardRequest): Promise<ForwardOutcome> {
    const { exchange, route, table } = request;
    const service = pickService(route.services, this.#options.random.fraction())?.service ?? '';
    const isEngine = table.service(service)?.engine !== undefined;
    const placer = isEngine ? this.#options.enginePlacer : this.#options.slotPlacer;
    const tried = new Set<string>();
    let reached = 0;
    let unreached = 0;
    let mayHaveRun = false;
    for (;;) {
      if (exchange.hasLeft()) return { kind: 'gone' };
      if (exchange.remainingMilliseconds <= 0) return refuse(timeOver(mayHaveRun), mayHaveRun);
      const placement = this.#place(service, placer, tried, request);
      if (placement === undefined) return refuse(this.#noTarget(service, mayHaveRun), mayHaveRun);
      tried.add(placement.state.target.id);
      const placeAgain = () => {
        const other = this.#place(service, placer, tried, request);
        if (other !== undefined) tried.add(other.state.target.id);
        return other;
      };
      const maySendTwice = route.kind === 'repeatable' && reached + 1 < route.attempts;
      const { outcome, sends } = maySendTwice
        ? await this.#tryTwice(placement, request, placeAgain)
        : { outcome: await this.#try(placement, request), sends: 1 };
      reached += sends - 1;
      switch (outcome.kind) {
        case 'answered':
        case 'streamed':
          return outcome;
        case 'given-up':
          if (exchange.hasLeft()) return { kind: 'gone' };
          mayHaveRun ||= outcome.sent;
          return refuse(timeOver(mayHaveRun), mayHaveRun, outcome.began);
        case 'not-sent':
          unreached += 1;
          break;
        case 'not-run':
          // Another server has the address; it was no try at the one that was meant.
          if (outcome.status === MISDIRECTED) unreached += 1;
          else reached += 1;
          break;
        case 'unknown':
          reached += 1;
          mayHaveRun = true;
          if (outcome.began || !mayRunAgain(route)) {
            return refuse(outcomeUnknown(outcome.reason), true, outcome.began);
          }
          break;
      }
      if (reached >= route.attempts || unreached >= UNREACHED_LIMIT) {
        return refuse(this.#noTarget(service, mayHaveRun), mayHaveRun);
      }
    }
  }

  /** Tries a call that may be repeated, at a second target too if it is late. */
  #tryTwice(
    placement: Placement,
    request: ForwardRequest,
    placeAgain: () => Placement | undefined,
  ): Promise<SecondSendResult> {
    return this.#secondSend.run({
      route: request.route.name,
      first: this.#try(placement, request),
      sendAgain: () => {
        const other = placeAgain();
        if (other === undefined) return undefined;
        this.#options.metrics.count('second_sends_total');
        return this.#try(other, request);
      },
    });
  }

  async #try(placement: Placement, request: ForwardRequest): Promise<AttemptOutcome> {
    const outcome = await this.#attempt(placement, request);
    this.#note(placement, outcome, request.exchange);
    return outcome;
  }

  #place(
    service: string,
    placer: Placer,
    tried: ReadonlySet<string>,
    { placement, table }: ForwardRequest,
  ): Placement | undefined {
    const { targets, random } = this.#options;
    const limit = table.service(service)?.connectionLimit ?? Infinity;
    const candidates = targets
      .ofService(service)
      .filter(({ target, load }) => !tried.has(target.id) && load < limit);
    return placer.place(candidates, placement, random);
  }

  async #attempt(placement: Placement, request: ForwardRequest): Promise<AttemptOutcome> {
    const { wire, clock, connections } = this.#options;
    const { exchange, body, receiver, priority } = request;
    const { state } = placement;
    const { rawHeaders, method = 'GET', url = '/' } = exchange.request;
    const attempt = new Attempt({
      connection: connections.take(state),
      wire,
      clock,
      requestId: exchange.head.id,
      method,
      path: url,
      headers: wire.buildTargetHeaders(rawHeaders, {
        remainingMilliseconds: Math.max(1, Math.floor(exchange.remainingMilliseconds)),
        target: state.target.id,
        priority,
      }),
      body,
      receiver,
    });
    const stopListening = exchange.onGone(() => {
      attempt.giveUp();
    });
    const cancelTimer = clock.after(Math.max(0, exchange.remainingMilliseconds), () => {
      attempt.giveUp();
    });
    state.inFlight += 1;
    request.onAttempt?.(attempt, placement);
    try {
      return await attempt.run();
    } finally {
      state.inFlight -= 1;
      stopListening();
      cancelTimer();
    }
  }

  #note({ state, cost, candidates }: Placement, outcome: AttemptOutcome, exchange: Exchange): void {
    const { metrics } = this.#options;
    const { kind } = outcome;
    metrics.count(`attempts_total{outcome="${kind}"}`);
    exchange.decide({
      target: state.target.id,
      cost: Math.round(cost * 100) / 100,
      candidates,
      load: [state.inFlight, state.inFlightElsewhere],
      outcome: kind,
      ...('status' in outcome ? { status: outcome.status } : {}),
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
    });
    const isOver = kind === 'given-up' && !outcome.began && !exchange.hasLeft();
    if (kind === 'not-run' && outcome.status === MISDIRECTED) state.noteGone();
    else if (kind === 'answered' && outcome.status >= SERVER_ERROR) state.noteError();
    else if (kind === 'answered' || kind === 'streamed') state.noteSuccess();
    else if (kind === 'not-sent' || kind === 'unknown' || isOver) state.noteFailure();
  }

  /** Nothing was done, or it is not known what was. */
  #noTarget(service: string, mayHaveRun: boolean): Refusal {
    if (mayHaveRun) return outcomeUnknown('all tries failed');
    const states = this.#options.targets.ofService(service);
    return {
      status: 503,
      code: states.length === 0 ? 'no_target' : 'not_run',
      message: `no target of ${service} took the request; it was not run`,
      retryAfterSeconds: retryAfter(states),
    };
  }
}

/**
 * Whether a request whose outcome is not known may be sent again. For a stream that may be resumed
 * this saves the caller a whole try of its own where an engine ends or loses an answer.
 */
function mayRunAgain({ kind, isResumable }: Route): boolean {
  return kind === 'repeatable' || (kind === 'stream' && isResumable);
}

/** The time until the least loaded target has most likely worked off its queue. */
function retryAfter(states: readonly TargetState[]): number {
  const waiting = states.map(({ load, target }) => Math.max(0, load - target.slots));
  const seconds = Math.min(...waiting, Infinity) * TURN_SECONDS;
  const { shortest, longest } = RETRY_AFTER_SECONDS;
  return Number.isFinite(seconds) ? Math.min(Math.max(seconds, shortest), longest) : longest;
}

function refuse(refusal: Refusal, mayHaveRun: boolean, began = false): ForwardOutcome {
  return { kind: 'refused', refusal, began, isNotRun: !mayHaveRun };
}

function outcomeUnknown(reason: string): Refusal {
  return {
    status: 502,
    code: 'outcome_unknown',
    message: `the request may have run; its answer was lost: ${reason}`,
  };
}

function timeOver(mayHaveRun: boolean): Refusal {
  if (mayHaveRun) {
    const message = 'no answer came in time; the request may have run';
    return { status: 504, code: 'time_over', message };
  }
  const message = 'the time was over before a target took the request; it was not run';
  return {
    status: 503,
    code: 'time_over',
    message,
    retryAfterSeconds: RETRY_AFTER_SECONDS.shortest,
  };
}

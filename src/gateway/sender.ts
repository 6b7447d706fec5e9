import type { Clock, Metrics } from '../core';
import { type DecisionSwitches, type HealthEvent, MISDIRECTED } from '../decisions';
import type { Placement, TargetConnections, UsualDurations } from '../targets';
import { type AnswerReceiver, Attempt, type AttemptOutcome } from './attempt';
import type { Exchange } from './exchange';
import type { Wire } from './wire';

/** Lowest status by which a target says that it failed. */
const SERVER_ERROR = 500;

export interface SenderOptions {
  readonly wire: Wire;
  readonly connections: TargetConnections;
  readonly durations: Pick<UsualDurations, 'note'>;
  readonly switches: DecisionSwitches;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** What is to be sent, and where its answer goes. */
export interface SendRequest {
  readonly exchange: Exchange;
  readonly body: Buffer | null;
  readonly priority?: number | undefined;
  readonly receiver?: AnswerReceiver | undefined;
  /** Told of the try that is under way, so that a paused answer can go on. */
  readonly onAttempt?: (attempt: Attempt, placement: Placement) => void;
}

/** Makes one try at one target, and notes how it ended: for the target, the log and the metrics. */
export class Sender {
  readonly #options: SenderOptions;

  constructor(options: SenderOptions) {
    this.#options = options;
  }

  async send(placement: Placement, request: SendRequest): Promise<AttemptOutcome> {
    const { clock, metrics, durations } = this.#options;
    const { exchange } = request;
    const sentAt = clock.monotonic();
    const outcome = await this.#attempt(placement, request);
    if (outcome.kind === 'answered' || outcome.kind === 'streamed') {
      durations.note(placement.state.target.service, clock.monotonic() - sentAt);
    }
    metrics.count(`attempts_total{outcome="${outcome.kind}"}`);
    exchange.decide(describeTry(placement, outcome));
    const event = this.#healthEvent(outcome, exchange);
    if (event !== undefined) placement.state.note(event);
    return outcome;
  }

  async #attempt(placement: Placement, request: SendRequest): Promise<AttemptOutcome> {
    const { clock } = this.#options;
    const { exchange } = request;
    const { state } = placement;
    const attempt = this.#createAttempt(placement, request);
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

  #createAttempt({ state }: Placement, request: SendRequest): Attempt {
    const { wire, clock, connections } = this.#options;
    const { exchange, body, receiver, priority } = request;
    const { rawHeaders, method = 'GET', url = '/' } = exchange.request;
    return new Attempt({
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
        team: exchange.team?.name,
        hidesKey: exchange.hidesKey,
      }),
      body,
      receiver,
    });
  }

  /** What an outcome says of the target; nothing where it tells of the caller alone. */
  #healthEvent(outcome: AttemptOutcome, exchange: Exchange): HealthEvent | undefined {
    const unreachable = this.#options.switches.pauses ? 'unreachable' : 'answered-with-error';
    switch (outcome.kind) {
      case 'not-run':
        return outcome.status === MISDIRECTED ? 'address-reused' : undefined;
      case 'answered':
        return outcome.status >= SERVER_ERROR ? 'answered-with-error' : 'answered';
      case 'streamed':
        return 'answered';
      case 'not-sent':
      case 'unknown':
        return unreachable;
      case 'given-up':
        return outcome.began || exchange.hasLeft() ? undefined : unreachable;
    }
  }
}

/** A try as the request's log line tells it. */
function describeTry(
  { state, cost, candidates, ages }: Placement,
  outcome: AttemptOutcome,
): Record<string, unknown> {
  return {
    target: state.target.id,
    cost: Math.round(cost * 100) / 100,
    candidates,
    load: [state.inFlight, state.inFlightElsewhere],
    ages: [Math.round(ages.list), Math.round(ages.loads)],
    outcome: outcome.kind,
    ...('status' in outcome ? { status: outcome.status } : {}),
    ...('reason' in outcome ? { reason: outcome.reason } : {}),
  };
}

import type { Clock, Metrics } from '../core';
import { type DecisionSwitches, type HealthEvent, MISDIRECTED_REQUEST_STATUS } from '../decisions';
import type { ResponseLimits, ResponseRecord } from '../http';
import { MemoryReclaimer, ResponseMemory } from '../resources';
import type { DurationAverages, Placement, TargetConnectionPool, TargetState } from '../targets';
import { type ResponseReceiver, Attempt, type AttemptOutcome } from './attempt';
import type { RequestCrashes, UnresolvedAttempt } from '../crashes';
import type { Exchange } from './exchange';
import type { WireFormat } from './wire-format';

const LOWEST_SERVER_ERROR_STATUS = 500;

/** Request Timeout and Too Many Requests (RFC 9110, RFC 6585). */
const RETRIED_CLIENT_ERRORS: ReadonlySet<number> = new Set([408, 429]);

/** Part of the error message of a connection that nothing accepts. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Time without a response after which a target that is given up may have ended. */
const SILENCE_MILLISECONDS = 500;

export interface SenderOptions {
  readonly wire: WireFormat;
  readonly connections: TargetConnectionPool;
  readonly durations: Pick<DurationAverages, 'record'>;
  readonly switches: DecisionSwitches;
  /** Memory of buffered responses; unlimited by default. */
  readonly memory?: ResponseMemory;
  readonly reclaimer?: MemoryReclaimer;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** A request and the receiver of its response. */
export interface SendRequest {
  readonly exchange: Exchange;
  readonly body: Buffer | null;
  readonly priority?: number | undefined;
  readonly receiver?: ResponseReceiver | undefined;
  /** Limits of the response of a target that is chosen. */
  readonly responseLimits?: (placement: Placement) => Partial<ResponseLimits>;
  /** Receives what the attempt says about the end of its target. */
  readonly crashes?: RequestCrashes | undefined;
  /** Called when an attempt starts, so that the caller of `send` can resume a paused response. */
  readonly onAttempt?: (attempt: Attempt, placement: Placement) => void;
}

interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Undefined if no response has begun. */
  readonly response: ResponseRecord | undefined;
}

/**
 * Makes one attempt at one target and records its outcome in the target's health, the log and the
 * metrics.
 */
export class Sender {
  readonly #options: Required<SenderOptions>;

  constructor(options: SenderOptions) {
    const { clock } = options;
    this.#options = {
      memory: new ResponseMemory({ capacityBytes: Infinity, waitingLimit: Infinity, clock }),
      reclaimer: new MemoryReclaimer(Infinity),
      ...options,
    };
  }

  async send(placement: Placement, request: SendRequest): Promise<AttemptOutcome> {
    const { clock, metrics, durations } = this.#options;
    const { exchange } = request;
    const sentAt = clock.monotonic();
    request.crashes?.recordStart(placement.state);
    const { outcome, response } = await this.#attempt(placement, request);
    if (outcome.kind === 'answered' || outcome.kind === 'streamed') {
      durations.record(placement.state.target.service, clock.monotonic() - sentAt);
    }
    metrics.count(`attempts_total{outcome="${outcome.kind}"}`);
    if (response !== undefined) metrics.count(countedResponse(response));
    if (response?.exceeded !== undefined) {
      metrics.count(`target_responses_over_limit_total{limit="${response.exceeded}"}`);
    }
    exchange.recordDecision(describeAttempt(placement, outcome, response));
    const event = this.#healthEvent(outcome, exchange);
    if (event !== undefined) placement.state.recordOutcome(event);
    this.#recordCrash(placement.state, request, outcome, sentAt);
    return outcome;
  }

  #recordCrash(
    state: TargetState,
    { crashes, exchange }: SendRequest,
    outcome: AttemptOutcome,
    sentAt: number,
  ): void {
    if (crashes === undefined) return;
    const unresolved = this.#findUnresolved(outcome, exchange, sentAt);
    if (isResponse(outcome)) crashes.recordResponse(state, sentAt);
    if (unresolved !== undefined) crashes.recordUnresolved(state, unresolved);
    else crashes.recordResolved(state);
    switch (outcome.kind) {
      case 'answered':
      case 'streamed':
        if (unresolved === undefined) crashes.recordAnswered(sentAt);
        return;
      case 'not-run':
        if (outcome.status === MISDIRECTED_REQUEST_STATUS) crashes.recordAddressReused(state);
        return;
      case 'not-sent':
        if (outcome.reason.includes(CONNECTION_REFUSED)) crashes.recordRefusedConnection(state);
        return;
      case 'unknown':
      case 'given-up':
      case 'no-memory':
    }
  }

  /**
   * Undefined if the target answered the attempt in whole, or did not run it. A caller that leaves
   * cancels its attempt, so an answer is never one to a caller that has left.
   */
  #findUnresolved(
    outcome: AttemptOutcome,
    exchange: Exchange,
    sentAt: number,
  ): UnresolvedAttempt | undefined {
    switch (outcome.kind) {
      case 'unknown':
        return { outcome: outcome.kind, began: outcome.began, kind: 'connection-lost' };
      case 'given-up':
        return outcome.sent
          ? {
              outcome: outcome.kind,
              began: outcome.began,
              kind: outcome.hasWaited === true ? 'uncertain' : this.#kindOf(exchange, sentAt),
            }
          : undefined;
      case 'no-memory':
        return { outcome: outcome.kind, kind: 'uncertain' };
      case 'answered':
        return isRetriedStatus(outcome.status)
          ? { outcome: outcome.kind, status: outcome.status, kind: 'uncertain' }
          : undefined;
      case 'streamed':
      case 'not-run':
      case 'not-sent':
        return undefined;
    }
  }

  /** The target of a request that was cancelled soon most likely lives on. */
  #kindOf(exchange: Exchange, sentAt: number): UnresolvedAttempt['kind'] {
    const isSilent = this.#options.clock.monotonic() - sentAt >= SILENCE_MILLISECONDS;
    return isCancelled(exchange) && !isSilent ? 'uncertain' : 'silence';
  }

  async #attempt(placement: Placement, request: SendRequest): Promise<AttemptResult> {
    const { clock } = this.#options;
    const { exchange } = request;
    const { state } = placement;
    const attempt = this.#createAttempt(placement, request);
    const endAttempt = exchange.beginAttempt(() => {
      attempt.cancel();
    });
    const cancelTimer = clock.after(Math.max(0, exchange.remainingMilliseconds), () => {
      attempt.cancel();
    });
    state.inFlight += 1;
    request.onAttempt?.(attempt, placement);
    try {
      const outcome = await attempt.run();
      return { outcome, response: attempt.response };
    } finally {
      state.inFlight -= 1;
      endAttempt();
      cancelTimer();
    }
  }

  #createAttempt(placement: Placement, request: SendRequest): Attempt {
    const { state } = placement;
    const { wire, clock, connections, memory, reclaimer } = this.#options;
    const { exchange, body, receiver, priority } = request;
    const { rawHeaders, method = 'GET', url = '/' } = exchange.request;
    return new Attempt({
      connection: connections.acquire(state),
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
      limits: request.responseLimits?.(placement),
      memory,
      reclaimer,
    });
  }

  /** Undefined if the outcome says nothing about the target's health. */
  #healthEvent(outcome: AttemptOutcome, exchange: Exchange): HealthEvent | undefined {
    const unreachable = this.#options.switches.pauses ? 'unreachable' : 'answered-with-error';
    switch (outcome.kind) {
      case 'not-run':
        return outcome.status === MISDIRECTED_REQUEST_STATUS ? 'address-reused' : undefined;
      case 'no-memory':
        return undefined;
      case 'answered':
        return outcome.status >= LOWEST_SERVER_ERROR_STATUS ? 'answered-with-error' : 'answered';
      case 'streamed':
        return 'answered';
      case 'not-sent':
      case 'unknown':
        return unreachable;
      case 'given-up':
        return outcome.began || outcome.hasWaited === true || isCancelled(exchange)
          ? undefined
          : unreachable;
    }
  }
}

/** Whether the request has ended for a reason that lies with neither its target nor its deadline. */
function isCancelled(exchange: Exchange): boolean {
  return exchange.hasDisconnected() || exchange.isEndedByStop;
}

/** Whether the target itself has responded in whole. */
function isResponse(outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'not-run') return outcome.status !== MISDIRECTED_REQUEST_STATUS;
  return outcome.kind === 'answered' || outcome.kind === 'streamed';
}

/** Whether a caller may send a request again after this status: 408, 429 and server errors. */
function isRetriedStatus(status: number): boolean {
  return RETRIED_CLIENT_ERRORS.has(status) || status >= LOWEST_SERVER_ERROR_STATUS;
}

function countedResponse({ framing, ending, eventStream }: ResponseRecord): string {
  const endsInsideEvent = eventStream?.endsInsideEvent ?? false;
  return `target_responses_total{framing="${framing}",ending="${ending}",inside_event="${String(endsInsideEvent)}"}`;
}

/** Fields of an attempt in the request's log line. */
function describeAttempt(
  { state, cost, candidates, ages }: Placement,
  outcome: AttemptOutcome,
  response: ResponseRecord | undefined,
): Record<string, unknown> {
  return {
    target: state.target.id,
    cost: Math.round(cost * 100) / 100,
    candidates,
    load: [state.inFlight, state.inFlightFromOthers],
    ages: [Math.round(ages.list), Math.round(ages.loads)],
    outcome: outcome.kind,
    ...('status' in outcome ? { status: outcome.status } : {}),
    ...('reason' in outcome ? { reason: outcome.reason } : {}),
    response,
  };
}

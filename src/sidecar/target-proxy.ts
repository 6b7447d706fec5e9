import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import {
  type DrainableRequests,
  InFlightTracker,
  type Logger,
  type Metrics,
  equalSecrets,
  messageOf,
} from '../core';
import {
  type HttpResponse,
  IncompleteResponseError,
  breakOff,
  forwardBody,
  isEventStream,
  memoryBoundBody,
  readBody,
  whenWritten,
} from '../http';
import {
  ATTEMPT_PREFIX,
  CALL_PREFIX,
  HEADERS,
  type Load,
  type RunOutcome,
  formatLoad,
} from '../protocol';
import type { ResponseMemory } from '../resources';
import type { CallAnswer } from '../state';
import { type AttemptState, AttemptTable } from './attempts';
import { type TargetClient, TargetError } from './target-client';

export interface TargetProxyOptions {
  readonly client: TargetClient;
  readonly incarnation: string;
  readonly credential: string;
  readonly maxConcurrentCalls: number;
  /** Memory of the responses that are read in whole before they are passed on. */
  readonly responseMemory: ResponseMemory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly load: () => Load;
  /** Called with the number of admitted calls in flight when it changes. */
  readonly onRunningChange?: (running: number) => void;
}

const STOPPED = 'the sidecar stopped before the answer was whole';

/** Largest response to a non-repeatable call that can be returned and retained. */
const MAX_RESPONSE_BYTES = 1024 * 1024;

/** Hop-by-hop headers (RFC 2616, section 13.5.1), `host`, and headers between entry and sidecar. */
const UNFORWARDED_HEADERS = new Set<string>([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  HEADERS.credential,
  HEADERS.claim,
]);

interface AdmissionRefusal {
  /** Whether the attempt may have run. */
  readonly outcome: RunOutcome;
  readonly message: string;
}

function notRun(message: string): AdmissionRefusal {
  return { outcome: 'not-run', message };
}

/** Reverse proxy in front of the target: admission control, and revocation of attempts. */
export class TargetProxy implements DrainableRequests {
  readonly #options: TargetProxyOptions;
  readonly #attempts = new AttemptTable();
  readonly #inFlight = new InFlightTracker();
  /** Calls whose responses may not have been written yet. */
  readonly #exchanges = new InFlightTracker();
  readonly #callControllers = new Set<AbortController>();
  #refusesNew = false;

  constructor(options: TargetProxyOptions) {
    this.#options = options;
  }

  /** Number of admitted calls in flight. */
  get running(): number {
    return this.#inFlight.count;
  }

  /** Refuses new calls. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** Answers the calls in flight, which may have run at the target. */
  endRunning(): void {
    const { logger } = this.#options;
    if (this.running > 0) logger.warn({ event: 'calls-ended', running: this.running });
    for (const controller of this.#callControllers) controller.abort(new Error(STOPPED));
  }

  /** Resolves once no call is in flight and all responses have been written. */
  whenIdle(): Promise<void> {
    return this.#exchanges.whenIdle();
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const credential = String(request.headers[HEADERS.credential] ?? '');
    if (!equalSecrets(credential, this.#options.credential)) {
      refuse(response, 401, 'not-run', 'the process credential is missing or wrong');
      return;
    }
    const url = request.url ?? '';
    if (url.startsWith(`${CALL_PREFIX}/`)) {
      this.#admit(request, response);
    } else if (request.method === 'POST' && url.startsWith(`${ATTEMPT_PREFIX}/`)) {
      const state = this.#revoke(request, decodeURIComponent(url.slice(ATTEMPT_PREFIX.length + 1)));
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(state));
    } else {
      refuse(response, 404, 'not-run', 'no such path');
    }
  }

  /** Attempts claimed at another incarnation may have run: their state is unknown. */
  #revoke(request: IncomingMessage, attempt: string): AttemptState {
    const isCurrentIncarnation = request.headers[HEADERS.claim] === this.#options.incarnation;
    return isCurrentIncarnation ? this.#attempts.revoke(attempt) : { state: 'unknown' };
  }

  #admit(request: IncomingMessage, response: ServerResponse): void {
    const refusal = this.#refusal(request);
    if (refusal !== undefined) {
      this.#options.metrics.count('calls_refused_total');
      refuse(response, 503, refusal.outcome, refusal.message);
      return;
    }
    this.#options.metrics.count('calls_total');
    const controller = new AbortController();
    this.#callControllers.add(controller);
    const claimed = request.headers[HEADERS.claim] !== undefined;
    const forwarding = claimed
      ? this.#forwardNonRepeatable(request, response, controller.signal)
      : this.#forwardRepeatable(request, response, controller);
    this.#inFlight.track(forwarding);
    this.#exchanges.track(whenWritten(response, forwarding));
    this.#reportRunning();
    const onEnd = () => {
      this.#callControllers.delete(controller);
      this.#reportRunning();
    };
    forwarding.then(onEnd, onEnd);
  }

  readonly #reportRunning = () => {
    this.#options.onRunningChange?.(this.running);
  };

  /** Checks admission; returns `undefined` if the call is admitted. */
  #refusal(request: IncomingMessage): AdmissionRefusal | undefined {
    if (this.#refusesNew) return notRun('the target is leaving');
    if (this.running >= this.#options.maxConcurrentCalls) return notRun('the target is full');
    const claim = request.headers[HEADERS.claim];
    if (claim === undefined) return undefined;
    if (claim !== this.#options.incarnation) return notRun('the claim is for another incarnation');
    switch (this.#attempts.admit(String(request.headers[HEADERS.attempt] ?? ''))) {
      case 'admitted':
        return undefined;
      case 'revoked':
        return notRun('the attempt was revoked');
      case 'used':
        return { outcome: 'unknown', message: 'the attempt was sent before' };
    }
  }

  /** Streams the response; aborts the call when the client's connection closes. */
  async #forwardRepeatable(
    request: IncomingMessage,
    response: ServerResponse,
    controller: AbortController,
  ): Promise<void> {
    response.once('close', () => {
      controller.abort();
    });
    try {
      const targetResponse = await this.#send(request, false, controller.signal);
      const headers = this.#responseHeaders(targetResponse.headers);
      // Chunks delimit a stream of events, so that it can still be broken off after its last byte.
      if (isEventStream(targetResponse.headers)) delete headers['content-length'];
      response.writeHead(targetResponse.status, headers);
      response.flushHeaders();
      await forwardBody(targetResponse.body, response);
    } catch (error) {
      this.#fail(response, error);
    }
  }

  /** Completes the call even if the client disconnects, and records its response. */
  async #forwardNonRepeatable(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const attempt = String(request.headers[HEADERS.attempt]);
    try {
      const targetResponse = await this.#send(request, true, signal);
      const { status } = targetResponse;
      const { responseMemory: memory } = this.#options;
      const received = memoryBoundBody(targetResponse.body, { memory, signal });
      const body = await readBody(received, MAX_RESPONSE_BYTES);
      const contentType = targetResponse.headers['content-type'] ?? 'application/octet-stream';
      this.#attempts.complete(attempt, body && toCallAnswer(status, contentType, body));
      if (body === undefined) throw new TargetError('the answer is too large to keep', false);
      const headers = this.#responseHeaders(targetResponse.headers);
      response.writeHead(status, { ...headers, 'content-length': body.length }).end(body);
    } catch (error) {
      if (error instanceof TargetError && error.notRun) this.#attempts.markNotRun(attempt);
      else this.#attempts.complete(attempt, undefined);
      this.#fail(response, error);
    }
  }

  #send(
    request: IncomingMessage,
    freshConnection: boolean,
    signal: AbortSignal,
  ): Promise<HttpResponse> {
    const headers = Object.fromEntries(
      Object.entries(request.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)),
    );
    return this.#options.client.send({
      method: request.method ?? 'GET',
      path: (request.url ?? '').slice(CALL_PREFIX.length),
      headers: { ...headers, 'x-request-id': String(request.headers[HEADERS.attempt] ?? '') },
      body: request,
      freshConnection,
      signal,
    });
  }

  #responseHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const forwarded = Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined && !UNFORWARDED_HEADERS.has(entry[0]),
    );
    return { ...Object.fromEntries(forwarded), [HEADERS.load]: formatLoad(this.#options.load()) };
  }

  #fail(outgoing: ServerResponse, error: unknown): void {
    const notRun = error instanceof TargetError && error.notRun;
    const response = error instanceof IncompleteResponseError ? error.response : undefined;
    this.#options.logger.warn({ event: 'call-failed', notRun, error: messageOf(error), response });
    if (outgoing.headersSent) breakOff(outgoing);
    else refuse(outgoing, 502, notRun ? 'not-run' : 'unknown', messageOf(error));
  }
}

function toCallAnswer(status: number, contentType: string, body: Buffer): CallAnswer {
  return { kind: 'call', status, contentType, body: body.toString('base64') };
}

function refuse(
  response: ServerResponse,
  status: number,
  outcome: RunOutcome,
  message: string,
): void {
  response
    .writeHead(status, { 'content-type': 'application/json', [HEADERS.outcome]: outcome })
    .end(JSON.stringify({ error: { code: 'sidecar-refused', message, outcome } }));
}

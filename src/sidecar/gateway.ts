import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { InFlight, type Logger, type Metrics, equalSecrets, messageOf } from '../core';
import {
  ATTEMPT_PREFIX,
  CALL_PREFIX,
  HEADERS,
  type Load,
  type RunOutcome,
  formatLoad,
} from '../protocol';
import type { CallAnswer } from '../state';
import { type AttemptState, AttemptTable } from './attempts';
import { type TargetClient, TargetError, readWhole } from './target-client';

export interface GatewayOptions {
  readonly client: TargetClient;
  readonly incarnation: string;
  readonly credential: string;
  readonly callsAtOnce: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The target's own load, as last read. */
  readonly load: () => Load;
}

/** Largest answer that is kept for a resend, in bytes. */
const ANSWER_LIMIT_BYTES = 1024 * 1024;

/** Headers that belong to one connection, or to the way between entry and sidecar. */
const NOT_FORWARDED = new Set<string>([
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

/** Why a call is not admitted, and whether its attempt may have run. */
interface AdmissionRefusal {
  readonly outcome: RunOutcome;
  readonly message: string;
}

function notRun(message: string): AdmissionRefusal {
  return { outcome: 'not-run', message };
}

/** Admits calls to the target, forwards them, and settles calls that may not be repeated. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #attempts = new AttemptTable();
  readonly #inFlight = new InFlight();
  #leaving = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
  }

  /** Calls admitted and not yet answered. */
  get running(): number {
    return this.#inFlight.count;
  }

  /** Refuses new calls from now on, and resolves once those under way are answered. */
  drain(): Promise<void> {
    this.#leaving = true;
    return this.#inFlight.idle();
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const shown = String(request.headers[HEADERS.credential] ?? '');
    if (!equalSecrets(shown, this.#options.credential)) {
      refuse(response, 401, 'not-run', 'the process credential is missing or wrong');
      return;
    }
    const url = request.url ?? '';
    if (url.startsWith(`${CALL_PREFIX}/`)) {
      this.#admit(request, response);
    } else if (request.method === 'POST' && url.startsWith(`${ATTEMPT_PREFIX}/`)) {
      const state = this.#settle(request, decodeURIComponent(url.slice(ATTEMPT_PREFIX.length + 1)));
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(state));
    } else {
      refuse(response, 404, 'not-run', 'no such path');
    }
  }

  /** Of a claim at an earlier incarnation nothing is known here: its attempts may have run. */
  #settle(request: IncomingMessage, attempt: string): AttemptState {
    const ours = request.headers[HEADERS.claim] === this.#options.incarnation;
    return ours ? this.#attempts.revoke(attempt) : { state: 'unknown' };
  }

  #admit(request: IncomingMessage, response: ServerResponse): void {
    const refusal = this.#refusal(request);
    if (refusal !== undefined) {
      this.#options.metrics.count('calls_refused_total');
      refuse(response, 503, refusal.outcome, refusal.message);
      return;
    }
    this.#options.metrics.count('calls_total');
    const claimed = request.headers[HEADERS.claim] !== undefined;
    const work = claimed
      ? this.#forwardOnce(request, response)
      : this.#forwardStream(request, response);
    this.#inFlight.track(work);
  }

  /** Why a call is not admitted; nothing when it is. */
  #refusal(request: IncomingMessage): AdmissionRefusal | undefined {
    if (this.#leaving) return notRun('the target is leaving');
    if (this.running >= this.#options.callsAtOnce) return notRun('the target is full');
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

  /** Forwards a call that may be repeated; it ends with its caller's connection. */
  async #forwardStream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const controller = new AbortController();
    response.once('close', () => {
      controller.abort();
    });
    try {
      const answer = await this.#send(request, false, controller.signal);
      response.writeHead(answer.statusCode ?? 502, this.#answerHeaders(answer.headers));
      response.flushHeaders();
      await pipeline(answer, response);
    } catch (error) {
      this.#fail(response, error);
    }
  }

  /** Forwards a call that may not be repeated; it is carried through even if its caller leaves. */
  async #forwardOnce(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const attempt = String(request.headers[HEADERS.attempt]);
    try {
      const answer = await this.#send(request, true, new AbortController().signal);
      const body = await readWhole(answer, ANSWER_LIMIT_BYTES);
      const status = answer.statusCode ?? 502;
      const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
      this.#attempts.settle(attempt, body && keepAnswer(status, contentType, body));
      if (body === undefined) throw new TargetError('the answer is too large to keep', false);
      const headers = this.#answerHeaders(answer.headers);
      response.writeHead(status, { ...headers, 'content-length': body.length }).end(body);
    } catch (error) {
      if (error instanceof TargetError && error.notRun) this.#attempts.withdraw(attempt);
      else this.#attempts.settle(attempt, undefined);
      this.#fail(response, error);
    }
  }

  #send(request: IncomingMessage, once: boolean, signal: AbortSignal): Promise<IncomingMessage> {
    const headers = Object.fromEntries(
      Object.entries(request.headers).filter(([name]) => !NOT_FORWARDED.has(name)),
    );
    return this.#options.client.send({
      method: request.method ?? 'GET',
      path: (request.url ?? '').slice(CALL_PREFIX.length),
      headers: { ...headers, 'x-request-id': String(request.headers[HEADERS.attempt] ?? '') },
      body: request,
      freshConnection: once,
      signal,
    });
  }

  #answerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const kept = Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined && !NOT_FORWARDED.has(entry[0]),
    );
    return { ...Object.fromEntries(kept), [HEADERS.load]: formatLoad(this.#options.load()) };
  }

  #fail(response: ServerResponse, error: unknown): void {
    const notRun = error instanceof TargetError && error.notRun;
    this.#options.logger.warn({ event: 'call-failed', notRun, error: messageOf(error) });
    if (response.headersSent) response.destroy();
    else refuse(response, 502, notRun ? 'not-run' : 'unknown', messageOf(error));
  }
}

function keepAnswer(status: number, contentType: string, body: Buffer): CallAnswer {
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

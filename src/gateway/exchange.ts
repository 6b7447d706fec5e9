import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Clock, type Logger, type Metrics } from '../core';
import { type Refusal, refuseUnfinished, refuseUnknownOutcome } from '../decisions';
import {
  RequestBody,
  type RequestBodyOutcome,
  breakOff,
  closeAfterUnreadBody,
  untilWritten,
} from '../http';
import type { MemoryAccount, MemoryBudget, MemoryReclaimer } from '../resources';
import type { Route } from '../routes';
import type { Team } from '../teams';
import { writeBody } from './body-writer';
import { OpenAttempts } from './open-attempts';
import type { ReceivedBody } from './received-body';
import type { RequestHead } from './wire-format';

/** Longest delay of a timer in Node.js. */
const LONGEST_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Why a request has no body that could be forwarded. */
export type BodyFailure = Exclude<RequestBodyOutcome['kind'], 'complete'>;

export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly budget: MemoryBudget;
  readonly reclaimer: MemoryReclaimer;
  /** Whether the connection is closed after the response. */
  readonly closesConnection: () => boolean;
}

/** One request of a caller and its response. */
export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  /** IP address at the other end of the connection; undefined if that was closed already. */
  readonly callerAddress: string | undefined;
  /** Monotonic time; milliseconds. */
  readonly arrivedAt: number;
  readonly #options: ExchangeOptions;
  readonly #attempts = new OpenAttempts();
  readonly #decisions: Record<string, unknown>[] = [];
  #hasDisconnected = false;
  /** Whether the response is a complete one of a target, which may still be being written. */
  #isAnswered = false;
  #isEndedByStop = false;
  /** Whether the request was refused for a stop; outcomes of its handling no longer count. */
  #isSettledByStop = false;
  #isClosed = false;
  /** Time from arrival to the start of a target's response. */
  #firstByteMilliseconds: number | undefined;
  #route: Route | undefined;
  #body: RequestBody | undefined;
  /** Version of the configuration that has the route. */
  configurationVersion: number | undefined;
  /** Undefined for callers without a key. */
  team: Team | undefined;
  /** Whether the caller's key is removed from requests to targets. */
  hidesKey = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.request = options.request;
    this.response = options.response;
    this.head = options.head;
    this.callerAddress = options.request.socket.remoteAddress;
    this.arrivedAt = options.clock.monotonic();
    this.response.once('close', () => {
      this.#close();
    });
  }

  set route(route: Route) {
    this.#route = route;
  }

  /** Whether the caller continues a stream that broke off (HTML Standard, section 9.2.3). */
  get resumesStream(): boolean {
    return this.request.headers['last-event-id'] !== undefined;
  }

  /** Whether the caller closed its connection before the response was complete. */
  hasDisconnected(): boolean {
    return this.#hasDisconnected;
  }

  /** Whether a planned stop of the process has ended the request; no attempt may start any more. */
  get isEndedByStop(): boolean {
    return this.#isEndedByStop;
  }

  /** Monotonic time in milliseconds, after the shorter of the caller's and the route's timeout. */
  get deadline(): number {
    const callerTimeout = this.head.timeoutMilliseconds ?? Infinity;
    return this.arrivedAt + Math.min(callerTimeout, this.#route?.timeoutMilliseconds ?? Infinity);
  }

  get remainingMilliseconds(): number {
    if (this.#isEndedByStop) return 0;
    return this.deadline - this.#options.clock.monotonic();
  }

  /**
   * Records an attempt at a target. `cancel` is called when the caller disconnects or the process
   * stops; the returned function is called at the attempt's end.
   */
  beginAttempt(cancel: () => void): () => void {
    return this.#attempts.begin(cancel);
  }

  /**
   * Ends the request because the process stops. Attempts under way are cancelled, which makes their
   * response; without one, the request is refused here, since what it waits for may take too long. Its
   * handling goes on, without further attempts, and gives back what the request holds.
   * A response whose last bytes have arrived from a target is left to be completed.
   */
  endForStop(): void {
    const { response } = this;
    if (this.#isEndedByStop || this.#hasDisconnected || response.writableEnded) return;
    this.#isEndedByStop = true;
    const { count, hasBegun } = this.#attempts;
    if (count > 0) this.#attempts.cancelAll();
    else if (!response.headersSent) {
      this.refuse(refuseUnfinished(hasBegun, true));
      this.#isSettledByStop = true;
    }
    this.#body?.cancel();
  }

  /**
   * Resolves once a response that was ended has been handed to the operating system, or its
   * connection is closed. Closes the connection if the caller stops reading.
   */
  async whenWritten(): Promise<void> {
    const { request, response } = this;
    const { clock } = this.#options;
    if (!this.#isClosed) await untilWritten({ request, response, clock });
  }

  /** Gives the memory of the request back. */
  release(): void {
    this.#body?.close();
  }

  /** Adds a decision to the request's log line. */
  recordDecision(decision: Record<string, unknown>): void {
    this.#decisions.push(decision);
  }

  /** Starts to read the body, unless the caller waits for an invitation to send it. */
  startBody(limitBytes: number): void {
    if (!this.#awaitsInvitation) this.#openBody(limitBytes);
  }

  /** Resolves at the request's deadline at the latest. */
  async readBody(limitBytes: number): Promise<Buffer | BodyFailure> {
    const body = this.#body ?? this.#inviteBody(limitBytes);
    const outcome = body.settled ?? (await this.#awaitBody(body));
    return outcome.kind === 'complete' ? outcome.body : outcome.kind;
  }

  /** Whether the caller sends its body only after an interim response (RFC 9110, section 10.1.1). */
  get #awaitsInvitation(): boolean {
    return this.request.headers.expect !== undefined;
  }

  #inviteBody(limitBytes: number): RequestBody {
    const mayInvite = !this.#hasDisconnected && !this.response.writableEnded;
    if (this.#awaitsInvitation && mayInvite) this.response.writeContinue();
    return this.#openBody(limitBytes);
  }

  #openBody(limitBytes: number): RequestBody {
    const { budget, reclaimer } = this.#options;
    this.#body = new RequestBody({ request: this.request, limitBytes, budget, reclaimer });
    return this.#body;
  }

  async #awaitBody(body: RequestBody): Promise<RequestBodyOutcome> {
    const milliseconds = Math.min(this.remainingMilliseconds, LONGEST_TIMER_MILLISECONDS);
    const cancel = this.#options.clock.after(Math.max(0, milliseconds), () => {
      body.cancel();
    });
    const outcome = await body.outcome;
    cancel();
    return outcome;
  }

  /** Starts the response with a target's status and headers. */
  beginResponse(status: number, rawHeaders: readonly string[]): void {
    this.#firstByteMilliseconds = this.#options.clock.monotonic() - this.arrivedAt;
    this.#markConnectionClosing();
    this.response.writeHead(status, [...rawHeaders]);
  }

  /**
   * Sends a target's complete response; resolves once its end is sent or it is given up. A body that
   * was given up before is not sent, since its response would be taken for complete without it.
   */
  async respond(status: number, rawHeaders: readonly string[], body: ReceivedBody): Promise<void> {
    const { response } = this;
    if (this.#hasDisconnected || response.headersSent) {
      body.close();
      return;
    }
    if (body.isClosed) {
      this.refuse(refuseUnknownOutcome('the gateway has no memory for it at present'));
      return;
    }
    response.once('close', () => {
      body.close();
    });
    body.complete(() => {
      this.#giveUpUnread();
    });
    this.#isAnswered = true;
    this.beginResponse(status, rawHeaders);
    const written = writeBody(body, { response, clock: this.#options.clock });
    this.log('answered', { status });
    await written;
  }

  /** Sends a refusal; logged only, if the caller disconnected or the response has started. */
  refuse({ status, code, message, retryAfterSeconds }: Refusal): void {
    if (this.#isSettledByStop) return;
    this.#options.metrics.count(`refusals_total{code="${code}"}`);
    if (code === 'stopping') this.#countStopped(retryAfterSeconds === undefined);
    this.log('refused', { status, code, reason: message, retryAfterSeconds });
    if (this.#hasDisconnected || this.response.headersSent) return;
    this.#markConnectionClosing();
    const { clock, reclaimer } = this.#options;
    closeAfterUnreadBody({ request: this.request, response: this.response, clock, reclaimer });
    const body = Buffer.from(JSON.stringify({ error: { code, message } }));
    this.response.setHeader('content-type', 'application/json');
    this.response.setHeader('content-length', body.length);
    if (retryAfterSeconds !== undefined) {
      this.response.setHeader('retry-after', retryAfterSeconds.toFixed(2));
    }
    this.response.statusCode = status;
    this.response.end(body);
  }

  /** Ends a response that cannot be completed so that no caller takes it for complete. */
  abort(reason: string): void {
    if (this.#isEndedByStop) this.#countStopped(true);
    this.log('broken-off', { reason });
    breakOff(this.response);
  }

  log(outcome: string, details: Record<string, unknown> = {}): void {
    if (this.#isSettledByStop) return;
    const { clock, logger, metrics } = this.#options;
    const milliseconds = clock.monotonic() - this.arrivedAt;
    const kind = this.#route?.kind ?? 'none';
    metrics.count(`requests_total{kind="${kind}",outcome="${outcome}"}`);
    metrics.observe(`request_${kind}`, milliseconds);
    const late = this.#isLate();
    if (late) metrics.count(`late_requests_total{kind="${kind}"}`);
    logger.info({
      event: 'request',
      request: this.head.id,
      program: this.head.program,
      previous: this.head.previousTurn,
      team: this.team?.name,
      programMilliseconds: this.head.programMilliseconds,
      route: this.#route?.name,
      kind: this.#route?.kind,
      configuration: this.configurationVersion,
      outcome,
      ...details,
      milliseconds: Math.round(milliseconds),
      beganMilliseconds:
        this.#firstByteMilliseconds === undefined
          ? undefined
          : Math.round(this.#firstByteMilliseconds),
      late,
      decisions: this.#decisions,
    });
  }

  /** Memory of the response until it ends; the response is given up if others need the memory. */
  openAccount(): MemoryAccount {
    const { budget, reclaimer } = this.#options;
    const account = budget.open({
      onRevoked: () => {
        this.#giveUpUnread();
      },
    });
    this.response.once('close', () => {
      reclaimer.recordReleased(account.bytes);
      account.close();
    });
    return account;
  }

  /** Whether the response started after the route's target latency; undefined if none started. */
  #isLate(): boolean | undefined {
    if (this.#firstByteMilliseconds === undefined || this.#route === undefined) return undefined;
    return this.#firstByteMilliseconds > this.#route.targetLatencyMilliseconds;
  }

  #giveUpUnread(): void {
    this.#options.metrics.count('unread_responses_total');
    this.request.socket.destroy();
  }

  #markConnectionClosing(): void {
    if (this.#options.closesConnection()) this.response.shouldKeepAlive = false;
  }

  #countStopped(mayHaveRun: boolean): void {
    this.#options.metrics.count(`requests_stopped_total{may_have_run="${String(mayHaveRun)}"}`);
  }

  /** The request was logged as answered or refused when its response was ended. */
  #logUnwritten(): void {
    const { logger, metrics } = this.#options;
    metrics.count('responses_unwritten_total');
    logger.warn({
      event: 'response-unwritten',
      request: this.head.id,
      status: this.response.statusCode,
      bytes: this.response.socket?.writableLength,
    });
  }

  #close(): void {
    this.#isClosed = true;
    if (this.response.writableFinished) return;
    if (this.response.writableEnded || this.#isAnswered) this.#logUnwritten();
    this.#hasDisconnected = true;
    this.#attempts.cancelAll();
  }
}

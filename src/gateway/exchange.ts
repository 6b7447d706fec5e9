import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Logger, Metrics } from '../core';
import type { Refusal } from '../decisions';
import type { Route } from '../routes';
import type { Team } from '../teams';
import type { RequestHead } from './wire';

const NO_BODY = Buffer.alloc(0);

export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the caller is to open another connection for its next request. */
  readonly closes: () => boolean;
}

/** One request of a caller, from its arrival to its answer. */
export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  /** Monotonic time of arrival, milliseconds. */
  readonly arrivedAt: number;
  readonly #options: ExchangeOptions;
  readonly #goneListeners = new Set<() => void>();
  readonly #decisions: Record<string, unknown>[] = [];
  #hasLeft = false;
  /** Time from the arrival to the first byte of a target's answer; milliseconds. */
  #beganAfter: number | undefined;
  #route: Route | undefined;
  /** The caller's team; nothing for callers without a key. */
  team: Team | undefined;
  /** Whether callers' keys are for the system alone. */
  hidesKey = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.request = options.request;
    this.response = options.response;
    this.head = options.head;
    this.arrivedAt = options.clock.monotonic();
    this.response.once('close', () => {
      this.#close();
    });
  }

  set route(route: Route) {
    this.#route = route;
  }

  /** Whether the caller has closed its connection before the answer was whole. */
  hasLeft(): boolean {
    return this.#hasLeft;
  }

  /** Monotonic time at which the answer must be there: the caller's wait or the route's timeout. */
  get deadline(): number {
    const wait = this.head.waitMilliseconds ?? Infinity;
    return this.arrivedAt + Math.min(wait, this.#route?.timeoutMilliseconds ?? Infinity);
  }

  get remainingMilliseconds(): number {
    return this.deadline - this.#options.clock.monotonic();
  }

  /** Calls `listener` when the caller leaves; returns what takes it back. */
  onGone(listener: () => void): () => void {
    this.#goneListeners.add(listener);
    return () => {
      this.#goneListeners.delete(listener);
    };
  }

  /** Notes a decision for the request's log line. */
  decide(decision: Record<string, unknown>): void {
    this.#decisions.push(decision);
  }

  /**
   * Reads the whole body; nothing if it is longer than `limitBytes` or the caller leaves. It listens, since
   * iterating over a stream takes four times the processor time.
   */
  async readBody(limitBytes: number): Promise<Buffer | 'too-large' | 'gone'> {
    const { request } = this;
    if (!hasBody(request)) {
      request.resume();
      return NO_BODY;
    }
    if (request.destroyed) return 'gone';
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let length = 0;
      request.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > limitBytes) resolve('too-large');
        else chunks.push(chunk);
      });
      request.once('end', () => {
        const [first] = chunks;
        resolve(chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks));
      });
      request.once('error', () => {
        resolve('gone');
      });
      request.once('close', () => {
        resolve('gone');
      });
    });
  }

  /** Begins the answer of a target. */
  begin(status: number, rawHeaders: readonly string[]): void {
    this.#beganAfter = this.#options.clock.monotonic() - this.arrivedAt;
    this.#markClosing();
    this.response.writeHead(status, [...rawHeaders]);
  }

  /** Passes on a whole answer of a target. */
  answer(status: number, rawHeaders: readonly string[], body: Buffer): void {
    if (this.#hasLeft) return;
    this.begin(status, rawHeaders);
    this.response.end(body);
    this.log('answered', { status });
  }

  /** Answers for the gateway itself. */
  refuse({ status, code, message, retryAfterSeconds }: Refusal): void {
    this.#options.metrics.count(`refusals_total{code="${code}"}`);
    this.log('refused', { status, code, reason: message, retryAfterSeconds });
    if (this.#hasLeft || this.response.headersSent) return;
    this.#markClosing();
    const body = Buffer.from(JSON.stringify({ error: { code, message } }));
    this.response.setHeader('content-type', 'application/json');
    this.response.setHeader('content-length', body.length);
    if (retryAfterSeconds !== undefined) {
      this.response.setHeader('retry-after', retryAfterSeconds.toFixed(2));
    }
    this.response.statusCode = status;
    this.response.end(body);
  }

  /** Ends a connection whose answer can't be made whole. */
  breakOff(reason: string): void {
    this.log('broken-off', { reason });
    this.response.destroy();
  }

  log(outcome: string, details: Record<string, unknown> = {}): void {
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
      outcome,
      ...details,
      milliseconds: Math.round(milliseconds),
      beganMilliseconds: this.#beganAfter === undefined ? undefined : Math.round(this.#beganAfter),
      late,
      decisions: this.#decisions,
    });
  }

  /** Whether the answer began later than the route aims at; nothing if none began. */
  #isLate(): boolean | undefined {
    if (this.#beganAfter === undefined || this.#route === undefined) return undefined;
    return this.#beganAfter > this.#route.aimMilliseconds;
  }

  #markClosing(): void {
    if (this.#options.closes()) this.response.shouldKeepAlive = false;
  }

  #close(): void {
    if (this.response.writableFinished) return;
    this.#hasLeft = true;
    for (const listener of this.#goneListeners) listener();
    this.#goneListeners.clear();
  }
}

/** Whether a body follows the head, by RFC 9112, section 6.3. */
function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}

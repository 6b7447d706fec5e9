import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { type Clock, messageOf } from '../core';
import { MISDIRECTED_REQUEST_STATUS, type AttemptSummary } from '../decisions';
import {
  type ResponseLimits,
  type ResponseRecord,
  ResponseRecorder,
  findIncompleteness,
} from '../http';
import { type MemoryReclaimer, type ResponseMemory } from '../resources';
import type { TargetConnection } from '../targets';
import { withoutConnectionHeaders } from './headers';
import { ReceivedBody } from './received-body';
import type { ResponseHead, WireFormat } from './wire-format';

/** Outcome of one request to one target, with the response if it was buffered. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Alternating names and values. */
      readonly headers: readonly string[];
      /** Must be closed. */
      readonly body: ReceivedBody;
    }
  | Exclude<AttemptSummary, { readonly kind: 'answered' }>;

/** Receives a successful response as it arrives. */
export interface ResponseReceiver {
  begin(status: number, headers: readonly string[]): void;
  /** Returns false if the response must pause until `Attempt.resume` is called. */
  write(chunk: Buffer): boolean;
}

export interface AttemptOptions {
  readonly connection: TargetConnection;
  readonly wire: WireFormat;
  readonly clock: Clock;
  readonly requestId: string | undefined;
  readonly method: string;
  /** Includes the query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
  /** Receives a successful response; the response is buffered if undefined. */
  readonly receiver?: ResponseReceiver | undefined;
  /** Beyond these the response is broken off. */
  readonly limits?: Partial<ResponseLimits> | undefined;
  /** Memory of a response that is buffered. */
  readonly memory: ResponseMemory;
  readonly reclaimer: MemoryReclaimer;
}

const SUCCESS_STATUS = { from: 200, to: 299 };

/** One request to one target over one connection. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  #body: ReceivedBody | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #resolve: (outcome: AttemptOutcome) => void = () => undefined;
  #settled = false;
  #cancelled = false;
  #status = 0;
  #headers: readonly string[] = [];
  #head: ResponseHead | undefined;
  #recorder: ResponseRecorder | undefined;
  #record: ResponseRecord | undefined;
  #hasBegun = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  run(): Promise<AttemptOutcome> {
    const { connection, method, path, headers, body } = this.#options;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      const options = { method, path, headers, body };
      try {
        connection.dispatch(options, this);
      } catch (error) {
        this.#fail(messageOf(error));
      }
    });
  }

  /** How the response has arrived by the end of the attempt; undefined if none has begun. */
  get response(): ResponseRecord | undefined {
    return this.#record;
  }

  /** Closes the connection, so that the target stops; `run` resolves as `given-up`. */
  cancel(): void {
    if (this.#settled) return;
    this.#cancelled = true;
    const sent = this.#controller !== undefined;
    const hasWaited = this.#body?.hasWaited ?? false;
    this.#settle({ kind: 'given-up', sent, began: this.#hasBegun, hasWaited });
  }

  /** Resumes a paused response. */
  resume(): void {
    this.#options.connection.resume(() => this.#controller?.resume());
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled) controller.abort(new Error('attempt cancelled'));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < SUCCESS_STATUS.from) return;
    const { wire, requestId, receiver, limits } = this.#options;
    this.#status = status;
    const isStreamed = receiver !== undefined && isSuccess(status);
    this.#recorder = new ResponseRecorder({ headers, expectsEventStream: isStreamed, limits });
    this.#head = wire.readResponse(headers);
    const raw = controller.rawHeaders;
    // Chunks delimit a streamed response, so that it can still be broken off after its last byte.
    const isExcluded = (name: string) => isStreamed && name === 'content-length';
    this.#headers = withoutConnectionHeaders(decodeRawHeaders(raw), isExcluded);
    const reason = findResponseFault(this.#head, status, requestId);
    if (reason !== undefined) this.#settle({ kind: 'unknown', reason, began: false });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // The parser passes on an empty piece when it resumes a body that the connection delimits.
    if (this.#settled || chunk.length === 0) return;
    this.#recorder?.push(chunk);
    const excess = this.#recorder?.excess;
    if (excess !== undefined) {
      this.#settle({ kind: 'unknown', reason: excess, began: this.#hasBegun });
      return;
    }
    const { receiver } = this.#options;
    if (receiver === undefined || !isSuccess(this.#status)) {
      this.#body ??= this.#openBody();
      if (!this.#body.append(chunk)) this.#pause(controller);
      return;
    }
    if (!this.#hasBegun) receiver.begin(this.#status, this.#headers);
    this.#hasBegun = true;
    if (!receiver.write(chunk)) this.#pause(controller);
  }

  onResponseEnd(): void {
    const status = this.#status;
    const { receiver, connection } = this.#options;
    const response = this.#recorder?.record(connection.ending());
    const reason = response && findIncompleteness(response);
    if (reason !== undefined) {
      this.#settle({ kind: 'unknown', reason, began: this.#hasBegun });
    } else if (this.#head?.isNotRun === true || status === MISDIRECTED_REQUEST_STATUS) {
      this.#settle({ kind: 'not-run', status }, true);
    } else if (receiver !== undefined && isSuccess(status)) {
      if (!this.#hasBegun) receiver.begin(status, this.#headers);
      this.#settle({ kind: 'streamed' }, true);
    } else {
      const body = this.#body ?? this.#openBody();
      body.complete();
      this.#settle({ kind: 'answered', status, headers: this.#headers, body }, true);
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error.message);
  }

  #openBody(): ReceivedBody {
    const { memory, reclaimer } = this.#options;
    return new ReceivedBody({
      memory,
      reclaimer,
      onGranted: () => {
        this.resume();
      },
      onRevoked: () => {
        this.#settle({ kind: 'no-memory' });
      },
    });
  }

  #pause(controller: Dispatcher.DispatchController): void {
    this.#options.connection.beforePause();
    controller.pause();
  }

  /** The request is certain to be unsent only if it has not started. */
  #fail(reason: string): void {
    if (this.#controller === undefined) this.#settle({ kind: 'not-sent', reason });
    else this.#settle({ kind: 'unknown', reason, began: this.#hasBegun });
  }

  #settle(outcome: AttemptOutcome, isComplete = false): void {
    if (this.#settled) return;
    this.#settled = true;
    const { connection } = this.#options;
    this.#record = this.#recorder?.record(connection.ending());
    if (outcome.kind !== 'answered') this.#body?.close();
    if (isComplete) connection.release();
    else {
      this.#controller?.abort(new Error(outcome.kind));
      connection.discard();
    }
    this.#resolve(outcome);
  }
}

function isSuccess(status: number): boolean {
  return status >= SUCCESS_STATUS.from && status <= SUCCESS_STATUS.to;
}

/** Reason for which a response cannot be the target's response to this request. */
function findResponseFault(
  head: ResponseHead,
  status: number,
  requestId: string | undefined,
): string | undefined {
  if (head.requestId !== undefined && head.requestId !== requestId) {
    return `an answer to another request, ${head.requestId}`;
  }
  if (isSuccess(status) && !head.isSigned) return 'a success that no target has signed';
  if (isSuccess(status) && head.isEncoded) return 'an encoded body';
  return undefined;
}

function decodeRawHeaders(raw: unknown): readonly string[] {
  const list = (raw ?? []) as readonly (string | Buffer)[];
  return list.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

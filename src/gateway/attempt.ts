import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock } from '../core';
import { MISDIRECTED, type TryOutcome } from '../decisions';
import type { TargetConnection } from '../targets';
import { withoutConnectionHeaders } from './headers';
import type { AnswerHead, Wire } from './wire';

/** How one try at one target ended, with the answer where it was collected whole. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Name, value, name, value. */
      readonly headers: readonly string[];
      readonly body: Buffer;
    }
  | Exclude<TryOutcome, { readonly kind: 'answered' }>;

/** Takes a successful answer piece by piece. */
export interface AnswerReceiver {
  begin(status: number, headers: readonly string[]): void;
  /** Takes a piece; returns whether it may be followed by another at once. */
  take(chunk: Buffer): boolean;
}

export interface AttemptOptions {
  readonly connection: TargetConnection;
  readonly wire: Wire;
  readonly clock: Clock;
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Name, value, name, value. */
  readonly headers: string[];
  readonly body: Buffer | null;
  /** Where a successful answer goes as it arrives; it is collected whole unless given. */
  readonly receiver?: AnswerReceiver | undefined;
}

/** Largest answer that is collected whole; bytes. */
const COLLECTED_LIMIT_BYTES = 8 * 1024 * 1024;

const SUCCESS = { from: 200, to: 299 };

/** One request to one target over one connection. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #resolve: (outcome: AttemptOutcome) => void = () => undefined;
  #settled = false;
  #givenUp = false;
  #status = 0;
  #headers: readonly string[] = [];
  #head: AnswerHead | undefined;
  #collected = 0;
  #began = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  run(): Promise<AttemptOutcome> {
    const { connection, method, path, headers, body } = this.#options;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      const options = { method: method, path, headers, body };
      try {
        connection.dispatch(options, this);
      } catch (error) {
        this.#settle({ kind: 'not-sent', reason: String(error) });
      }
    });
  }

  /** Closes the connection, so that the target stops; the outcome follows. */
  giveUp(): void {
    if (this.#settled) return;
    this.#givenUp = true;
    const sent = this.#controller !== undefined;
    this.#settle({ kind: 'given-up', sent, began: this.#began });
  }

  /** Lets a paused answer go on. */
  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#givenUp) controller.abort(new Error('given up'));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < SUCCESS.from) return;
    const { wire, requestId } = this.#options;
    this.#status = status;
    this.#head = wire.readAnswer(headers);
    const raw = controller.rawHeaders;
    this.#headers = withoutConnectionHeaders(toTexts(raw), () => false);
    const reason = findFault(this.#head, status, requestId);
    if (reason !== undefined) this.#settle({ kind: 'unknown', reason, began: false });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#settled) return;
    const { receiver } = this.#options;
    if (receiver === undefined || !isSuccess(this.#status)) {
      this.#collect(chunk);
      return;
    }
    if (!this.#began) receiver.begin(this.#status, this.#headers);
    this.#began = true;
    if (!receiver.take(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    const status = this.#status;
    const { receiver, connection } = this.#options;
    if (connection.hasFailed()) {
      const reason = 'the connection was reset before the end of the answer';
      this.#settle({ kind: 'unknown', reason, began: this.#began });
    } else if (this.#head?.isNotRun === true || status === MISDIRECTED) {
      this.#settle({ kind: 'not-run', status }, true);
    } else if (receiver !== undefined && isSuccess(status)) {
      if (!this.#began) receiver.begin(status, this.#headers);
      this.#settle({ kind: 'streamed' }, true);
    } else {
      const body = Buffer.concat(this.#chunks);
      this.#settle({ kind: 'answered', status, headers: this.#headers, body }, true);
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const reason = error.message;
    if (this.#controller === undefined) this.#settle({ kind: 'not-sent', reason });
    else this.#settle({ kind: 'unknown', reason, began: this.#began });
  }

  #collect(chunk: Buffer): void {
    this.#collected += chunk.length;
    this.#chunks.push(chunk);
    if (this.#collected <= COLLECTED_LIMIT_BYTES) return;
    const reason = `an answer of more than ${COLLECTED_LIMIT_BYTES} bytes`;
    this.#settle({ kind: 'unknown', reason, began: false });
  }

  #settle(outcome: AttemptOutcome, whole = false): void {
    if (this.#settled) return;
    this.#settled = true;
    const { connection } = this.#options;
    if (whole) connection.release();
    else {
      this.#controller?.abort(new Error(outcome.kind));
      connection.discard();
    }
    this.#resolve(outcome);
  }
}

function isSuccess(status: number): boolean {
  return status >= SUCCESS.from && status <= SUCCESS.to;
}

/** Why an answer can't be the target's own answer to the request. */
function findFault(
  head: AnswerHead,
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

function toTexts(raw: unknown): readonly string[] {
  const list = (raw ?? []) as readonly (string | Buffer)[];
  return list.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { type Address, type Clock, MartenbayError, messageOf, startTimeout } from '../core';
import { HttpClient, type HttpResponse, readBody } from '../http';

/** The target did not respond to a call, or its response can't be retained. */
export class TargetError extends MartenbayError {
  /** True if the connection failed, so that no byte of the call reached the target. */
  readonly notRun: boolean;

  constructor(message: string, notRun: boolean, cause?: unknown) {
    super([{ code: 'target_unreachable', path: [], message }], { cause });
    this.notRun = notRun;
  }
}

export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable | string;
  /**
   * Opens a new connection. A pooled one may fail after the target received the call; a new one
   * that is refused proves that the call did not run.
   */
  readonly freshConnection: boolean;
  readonly signal: AbortSignal;
}

/** Errors of `connect`: no byte of the call reached the target. */
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

/** HTTP client for the target of a sidecar. */
export class TargetClient {
  readonly #address: Address;
  readonly #clock: Clock;
  readonly #http = new HttpClient();

  constructor(address: Address, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Resolves once the response headers arrived; the caller reads the body. */
  async send(call: TargetRequest): Promise<HttpResponse> {
    try {
      return await this.#http.send({ ...call, address: this.#address });
    } catch (error) {
      const notRun = CONNECT_ERRORS.has((error as NodeJS.ErrnoException).code ?? '');
      throw new TargetError(`the target gave no answer: ${messageOf(error)}`, notRun, error);
    }
  }

  /**
   * Sends JSON and parses the JSON response; resolves with `undefined` unless the status is 200.
   */
  async requestJson(method: 'GET' | 'POST', path: string, content?: unknown): Promise<unknown> {
    const body = content === undefined ? '' : JSON.stringify(content);
    const { controller, cancel } = startTimeout(this.#clock, JSON_TIMEOUT_MILLISECONDS);
    try {
      const response = await this.send({
        method,
        path,
        headers: {
          'content-type': 'application/json',
          'content-length': String(Buffer.byteLength(body)),
        },
        body,
        freshConnection: false,
        signal: controller.signal,
      });
      const text = await readBody(response.body, MAX_JSON_BYTES);
      if (text === undefined) {
        throw new TargetError(`the target sent more than ${MAX_JSON_BYTES} bytes`, false);
      }
      return response.status === 200 ? (JSON.parse(text.toString()) as unknown) : undefined;
    } finally {
      cancel();
    }
  }

  stop(): void {
    this.#http.stop();
  }
}

const JSON_TIMEOUT_MILLISECONDS = 2000;
const MAX_JSON_BYTES = 1024 * 1024;

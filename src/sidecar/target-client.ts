import { Agent, type IncomingHttpHeaders, type IncomingMessage, request } from 'node:http';
import type { Readable } from 'node:stream';
import { type Address, type Clock, MartenbayError, messageOf, startTimeout } from '../core';

/** A call did not get an answer from the target. */
export class TargetError extends MartenbayError {
  /** Whether the target provably never got the call. */
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
  /** Body as a stream, or whole. */
  readonly body: Readable | string;
  /** A connection of its own, so that a refused connection proves that the call did not run. */
  readonly freshConnection: boolean;
  readonly signal: AbortSignal;
}

/** Failures to connect: not one byte of the call reached the target. */
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

/** HTTP client to the one target that a sidecar stands beside. */
export class TargetClient {
  readonly #address: Address;
  readonly #clock: Clock;
  readonly #agent = new Agent({ keepAlive: true });

  constructor(address: Address, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Sends a call and resolves with the answer's head; its body is still to be read. */
  send(call: TargetRequest): Promise<IncomingMessage> {
    const { method, path, headers, body, freshConnection, signal } = call;
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: this.#address.host,
        port: this.#address.port,
        agent: freshConnection ? false : this.#agent,
        method,
        path,
        headers,
        signal,
      });
      outgoing.once('response', resolve);
      outgoing.once('error', (error: NodeJS.ErrnoException) => {
        const notRun = CONNECT_FAILURES.has(error.code ?? '');
        reject(new TargetError(`the target gave no answer: ${messageOf(error)}`, notRun, error));
      });
      if (typeof body === 'string') outgoing.end(body);
      else body.pipe(outgoing);
    });
  }

  /** Sends JSON and reads a JSON answer; nothing unless its status is 200. */
  async json(method: 'GET' | 'POST', path: string, content?: unknown): Promise<unknown> {
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
      const text = (await readWhole(response, JSON_LIMIT_BYTES))?.toString() ?? '';
      return response.statusCode === 200 ? (JSON.parse(text) as unknown) : undefined;
    } finally {
      cancel();
    }
  }

  stop(): void {
    this.#agent.destroy();
  }
}

const JSON_TIMEOUT_MILLISECONDS = 2000;
const JSON_LIMIT_BYTES = 1024 * 1024;

/** Reads a whole body; nothing when it is larger than `limitBytes`, the rest being discarded. */
export async function readWhole(
  stream: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of stream as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= limitBytes) chunks.push(chunk);
  }
  return size <= limitBytes ? Buffer.concat(chunks) : undefined;
}

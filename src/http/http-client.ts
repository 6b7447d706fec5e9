import { Agent, type IncomingHttpHeaders, request } from 'node:http';
import type { Readable } from 'node:stream';
import type { Address, Component } from '../core';
import { checkedBody } from './checked-body';

export interface HttpCall {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable | Buffer | string;
  /** Whether to open a connection instead of using one of the pool. */
  readonly freshConnection?: boolean;
  readonly signal?: AbortSignal;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Fails if the response is not complete. */
  readonly body: Readable;
}

/** HTTP client that fails on responses that were broken off, whatever delimits them. */
export class HttpClient implements Component {
  readonly #agent = new Agent({ keepAlive: true });

  /** Resolves once the response headers have arrived; rejects with the error of the connection. */
  send(call: HttpCall): Promise<HttpResponse> {
    const { address, method, path, headers, body, freshConnection = false, signal } = call;
    return new Promise((resolve, reject) => {
      const outgoing = request({
        ...address,
        agent: freshConnection ? false : this.#agent,
        method,
        path,
        headers,
        signal,
      });
      outgoing.once('response', (response) => {
        const { statusCode = 0 } = response;
        resolve({ status: statusCode, headers: response.headers, body: checkedBody(response) });
      });
      outgoing.once('error', reject);
      if (typeof body === 'string' || Buffer.isBuffer(body)) outgoing.end(body);
      else body.pipe(outgoing);
    });
  }

  stop(): void {
    this.#agent.destroy();
  }
}

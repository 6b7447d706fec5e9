import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Address, Component, Metrics } from '../core';

/** Answers to `/healthz` and `/readyz`. */
export interface HealthSource {
  /** Why the process is not ready to serve; nothing when it is. */
  readonly notReady: () => string | undefined;
  readonly metrics: Metrics;
}

/**
 * Answers the pages that every process has: `/healthz`, `/readyz` and `/metrics`. Returns whether
 * the request was one of them.
 */
export function answerHealth(
  source: HealthSource,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  if (request.method !== 'GET') return false;
  switch (request.url) {
    case '/healthz':
      response.writeHead(200, { 'content-type': 'text/plain' }).end('alive\n');
      return true;
    case '/readyz': {
      const reason = source.notReady();
      const status = reason === undefined ? 200 : 503;
      response.writeHead(status, { 'content-type': 'text/plain' }).end(`${reason ?? 'ready'}\n`);
      return true;
    }
    case '/metrics':
      response
        .writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
        .end(source.metrics.render());
      return true;
    default:
      return false;
  }
}

export interface ListenerOptions {
  readonly address: Address;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Largest total of request headers, in bytes. */
  readonly headerLimitBytes?: number;
}

/** An HTTP server as a component: stopping it finishes the requests under way. */
export class HttpListener implements Component {
  readonly server: Server;
  readonly #address: Address;

  constructor(options: ListenerOptions) {
    const { address, handle, headerLimitBytes = 16_384 } = options;
    this.#address = address;
    this.server = createServer({ maxHeaderSize: headerLimitBytes, noDelay: true }, handle);
  }

  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.#address.port, this.#address.host, () => {
        this.server.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Takes no new connection, and resolves once the last request has its answer. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }
}

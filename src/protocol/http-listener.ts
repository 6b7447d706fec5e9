import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { Address, Clock, Component, Logger, Metrics } from '../core';
import { IdleConnections, PersistentListener } from '../http';

export interface HealthSource {
  /** Reason why the process is not ready; undefined when it is. */
  readonly notReady: () => string | undefined;
  readonly metrics: Metrics;
}

/**
 * Serves `GET` requests for `/healthz`, `/readyz` and `/metrics`. Returns false, without sending a
 * response, for any other request.
 */
export function handleHealthRequest(
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

export interface HttpListenerOptions {
  readonly address: Address;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Largest total size of the request headers, in bytes. */
  readonly headerLimitBytes?: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** HTTP server of a process. */
export class HttpListener implements Component {
  readonly server: Server;
  readonly #listener: PersistentListener;
  readonly #idleConnections: IdleConnections;

  constructor(options: HttpListenerOptions) {
    const { address, handle, headerLimitBytes = 16_384, clock, logger } = options;
    this.server = createServer({ maxHeaderSize: headerLimitBytes, noDelay: true }, handle);
    const { server } = this;
    this.#listener = new PersistentListener({ name: 'http', server, address, clock, logger });
    this.#idleConnections = new IdleConnections(this.server);
  }

  /** Resolves after the first attempt to listen; an address that is in use is tried again. */
  start(): Promise<void> {
    return this.#listener.start();
  }

  get isListening(): boolean {
    return this.#listener.isListening;
  }

  get hasConnections(): boolean {
    return this.#idleConnections.hasConnections;
  }

  /** Stops accepting connections; resolves once the last request was answered. */
  finish(): Promise<void> {
    this.#listener.stop();
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.#idleConnections.close();
    });
  }

  /** Closes all connections, also those with requests that the owner has not finished. */
  stop(): void {
    void this.finish();
    this.server.closeAllConnections();
  }
}

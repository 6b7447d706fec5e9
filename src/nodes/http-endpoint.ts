import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import {
  type Clock,
  type Component,
  type Logger,
  type Metrics,
  messageOf,
  parseAddress,
} from '../core';
import { ConnectionGuard, PersistentListener, closeAfterUnreadBody } from '../http';
import type { MemoryReclaimer } from '../resources';

/** Time within which the head of a request must arrive, and the whole request. */
const HEAD_TIMEOUT_MILLISECONDS = 5000;
const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;

export interface HttpEndpointOptions {
  /** Label of the metrics. */
  readonly name: string;
  /** IP:port. */
  readonly address: string;
  /** Connections that may be open at once. */
  readonly connectionLimit: number;
  readonly reclaimer: MemoryReclaimer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;
}

/** HTTP server for readiness checks, metrics or operators. */
export class HttpEndpoint implements Component {
  readonly #options: HttpEndpointOptions;
  readonly #server: Server;
  readonly #listener: PersistentListener;

  constructor(options: HttpEndpointOptions) {
    this.#options = options;
    const serve = (request: IncomingMessage, response: ServerResponse) => {
      void this.#handle(request, response);
    };
    const timeouts = {
      headersTimeout: HEAD_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
    };
    this.#server = createServer({ ...timeouts, noDelay: true }, serve);
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      response.writeContinue();
      serve(request, response);
    });
    const { name, connectionLimit: limit, clock, logger, metrics } = options;
    new ConnectionGuard(this.#server, { listener: name, limit, clock, metrics });
    const address = parseAddress(options.address);
    this.#listener = new PersistentListener({ name, server: this.#server, address, clock, logger });
  }

  start(): Promise<void> {
    return this.#listener.start();
  }

  stop(): void {
    this.#listener.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { handle, logger, address } = this.#options;
    try {
      await handle(request, response);
    } catch (error) {
      logger.error({ event: 'endpoint-failed', address, error: messageOf(error) });
      response.destroy();
    }
  }
}

/** Answers requests whose bodies are not read. */
export function withoutBody(
  { clock, reclaimer }: Pick<HttpEndpointOptions, 'clock' | 'reclaimer'>,
  handle: (response: ServerResponse) => void,
): HttpEndpointOptions['handle'] {
  return (request, response) => {
    closeAfterUnreadBody({ request, response, clock, reclaimer });
    handle(response);
  };
}

/** Serves the metrics in the Prometheus text format, version 0.0.4. */
export function serveMetrics(render: () => string): (response: ServerResponse) => void {
  return (response) => {
    response.setHeader('content-type', 'text/plain; version=0.0.4');
    response.end(render());
  };
}

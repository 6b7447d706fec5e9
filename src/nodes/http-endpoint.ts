import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type Component, type Logger, messageOf, parseAddress } from '../core';

export interface HttpEndpointOptions {
  /** IP:port. */
  readonly address: string;
  readonly logger: Logger;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;
}

/** HTTP server for readiness checks, metrics or operators. */
export class HttpEndpoint implements Component {
  readonly #options: HttpEndpointOptions;
  readonly #server: Server;

  constructor(options: HttpEndpointOptions) {
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (request, response) => {
      void this.#handle(request, response);
    });
  }

  start(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port }, resolve);
    });
  }

  stop(): void {
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

/** Serves the metrics in the Prometheus text format, version 0.0.4. */
export function serveMetrics(render: () => string): HttpEndpointOptions['handle'] {
  return (_request, response) => {
    response.setHeader('content-type', 'text/plain; version=0.0.4');
    response.end(render());
  };
}

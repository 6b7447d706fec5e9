import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import {
  type Clock,
  type Component,
  type DrainableRequests,
  InFlightTracker,
  type Logger,
  type Metrics,
  messageOf,
  parseAddress,
} from '../core';
import {
  ConnectionGuard,
  IdleConnections,
  PersistentListener,
  closeAfterUnreadBody,
  untilWritten,
} from '../http';
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

interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** HTTP server for readiness checks, metrics or operators. */
export class HttpEndpoint implements Component, DrainableRequests {
  readonly #options: HttpEndpointOptions;
  readonly #server: Server;
  readonly #listener: PersistentListener;
  readonly #inFlight = new InFlightTracker();
  readonly #openRequests = new Set<OpenRequest>();
  #isRefusing = false;
  #hasEndedRequests = false;

  constructor(options: HttpEndpointOptions) {
    this.#options = options;
    const serve = (request: IncomingMessage, response: ServerResponse) => {
      this.#inFlight.track(this.#serve({ request, response }));
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
    new IdleConnections(this.#server);
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

  refuseNew(): void {
    this.#isRefusing = true;
    this.#listener.stop();
    this.#server.close();
    for (const { response } of this.#openRequests) response.shouldKeepAlive = false;
  }

  endRunning(): void {
    this.#hasEndedRequests = true;
    for (const open of this.#openRequests) {
      if (open.response.headersSent) continue;
      this.#refuse(open, open.request.complete ? OUTCOME_UNKNOWN : NOT_CARRIED_OUT);
    }
  }

  whenIdle(): Promise<void> {
    return this.#inFlight.whenIdle();
  }

  async #serve(open: OpenRequest): Promise<void> {
    this.#openRequests.add(open);
    if (this.#isRefusing) this.#refuse(open, NOT_CARRIED_OUT);
    else await this.#handle(open);
    await untilWritten({ ...open, clock: this.#options.clock });
    this.#openRequests.delete(open);
  }

  #refuse({ request, response }: OpenRequest, { status, error }: EndpointRefusal): void {
    const { name, clock, logger, metrics, reclaimer } = this.#options;
    const { method, url } = request;
    logger.info({ event: 'endpoint-request-stopped', listener: name, method, url, status });
    metrics.count(`endpoint_requests_stopped_total{listener="${name}",status="${status}"}`);
    closeAfterUnreadBody({ request, response, clock, reclaimer });
    response.shouldKeepAlive = false;
    response.statusCode = status;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ error }));
  }

  async #handle({ request, response }: OpenRequest): Promise<void> {
    const { handle, logger, address } = this.#options;
    try {
      await handle(request, response);
    } catch (error) {
      // The handler then finds its response ended.
      if (this.#hasEndedRequests) return;
      logger.error({ event: 'endpoint-failed', address, error: messageOf(error) });
      response.destroy();
    }
  }
}

interface EndpointRefusal {
  readonly status: number;
  readonly error: string;
}

const NOT_CARRIED_OUT: EndpointRefusal = {
  status: 503,
  error: 'this process is stopping; the call was not carried out',
};

const OUTCOME_UNKNOWN: EndpointRefusal = {
  status: 504,
  error: 'this process is stopping; the call may have been carried out',
};

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

import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import {
  type Address,
  type Clock,
  type Component,
  type Logger,
  type Metrics,
  messageOf,
} from '../core';
import type { Refusal } from '../decisions';
import type { CallerLimits, RouteTable } from '../routes';
import { handleCall } from './call-handler';
import { Exchange } from './exchange';
import type { KeyGuard } from './key-guard';
import type { Forwarder } from './forwarder';
import type { QuotaGate } from './quota-gate';
import type { TurnHandler } from './turn-handler';
import type { Wire } from './wire';

/** Pause between looks for callers that are too slow with their headers; milliseconds. */
const CHECK_MILLISECONDS = 1000;

/** Longest wait for a whole request, however slowly it comes; milliseconds. */
const REQUEST_MILLISECONDS = 60_000;

/**
 * Pause that a refusal asks for while no configuration is known; an election after a start of all
 * processes takes 0.6 s. Seconds.
 */
const CONFIGURATION_RETRY_SECONDS = 0.7;

export interface GatewayServerOptions {
  readonly address: Address;
  readonly wire: Wire;
  readonly forwarder: Forwarder;
  readonly quotaGate: QuotaGate;
  readonly turnHandler: Pick<TurnHandler, 'handle'>;
  readonly keyGuard: Pick<KeyGuard, 'admit'>;
  readonly routes: () => RouteTable | undefined;
  /** Whether callers are well served here; if not they are told to open another connection. */
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Takes the requests of callers. */
export class GatewayServer implements Component {
  readonly #options: GatewayServerOptions;
  readonly #server: Server;
  readonly #underWay = new Set<Exchange>();
  #refusing = false;
  #onIdle: () => void = () => undefined;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        connectionsCheckingInterval: CHECK_MILLISECONDS,
        requestTimeout: REQUEST_MILLISECONDS,
        noDelay: true,
      },
      (request, response) => {
        void this.#serve(request, response);
      },
    );
    options.metrics.gauge('requests_under_way', () => this.#underWay.size);
  }

  start(): Promise<void> {
    const { host, port } = this.#options.address;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: 1024 }, resolve);
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Takes the bounds of a new configuration; they hold for connections that come later. */
  limit({ headerBytes, headerMilliseconds, idleMilliseconds }: CallerLimits): void {
    const server = this.#server as Server & { maxHeaderSize?: number };
    server.maxHeaderSize = headerBytes;
    server.headersTimeout = headerMilliseconds;
    server.keepAliveTimeout = idleMilliseconds;
  }

  /** From now on new requests are refused, and connections without a request are closed. */
  refuseNew(): void {
    this.#refusing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Resolves when no request is under way. */
  idle(): Promise<void> {
    if (this.#underWay.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { wire, clock, logger, metrics, isReady } = this.#options;
    const exchange = new Exchange({
      request,
      response,
      head: wire.readRequest(request.headers, request.rawHeaders),
      clock,
      logger,
      metrics,
      closes: () => !isReady(),
    });
    this.#underWay.add(exchange);
    try {
      await this.#route(exchange);
    } catch (error) {
      logger.error({ event: 'request-failed', request: exchange.head.id, error: messageOf(error) });
      exchange.breakOff('an error of the gateway');
    } finally {
      this.#underWay.delete(exchange);
      if (this.#underWay.size === 0) this.#onIdle();
    }
  }

  async #route(exchange: Exchange): Promise<void> {
    const table = this.#options.routes();
    if (this.#refusing) {
      exchange.refuse(STOPPING);
      return;
    }
    if (table === undefined) {
      exchange.refuse(NO_CONFIGURATION);
      return;
    }
    const { host = '' } = exchange.request.headers;
    const path = (exchange.request.url ?? '/').split('?', 1)[0] ?? '/';
    const route = table.find(host, path);
    if (route === undefined) {
      exchange.refuse(noRoute(table.configuration.version));
      return;
    }
    exchange.route = route;
    const { turnHandler, keyGuard } = this.#options;
    const refusal = await keyGuard.admit(exchange, route);
    if (refusal !== undefined) {
      exchange.refuse(refusal);
      return;
    }
    if (route.kind === 'stream') await turnHandler.handle(exchange, route, table);
    else await handleCall(this.#options, exchange, route, table);
  }
}

const NO_CONFIGURATION: Refusal = {
  status: 503,
  code: 'no_configuration',
  message: 'no configuration is known here yet; the request was not run',
  retryAfterSeconds: CONFIGURATION_RETRY_SECONDS,
};

/** Another process takes the request at once. */
const STOPPING: Refusal = {
  status: 503,
  code: 'stopping',
  message: 'this process is stopping; the request was not run',
  retryAfterSeconds: 0,
};

function noRoute(version: number): Refusal {
  const message = `configuration ${version} has no route for this host and path`;
  return { status: 404, code: 'no_route', message };
}

import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
  maxHeaderSize,
} from 'node:http';
import type { Socket } from 'node:net';
import {
  type Address,
  type Clock,
  type Component,
  type DrainableRequests,
  type Logger,
  type Metrics,
  messageOf,
} from '../core';
import { STOPPING } from '../decisions';
import {
  ConnectionGuard,
  IdleConnections,
  PersistentListener,
  SequentialRequests,
  isTooLong,
} from '../http';
import type { MemoryBudget, MemoryReclaimer } from '../resources';
import type { CallerLimits, RouteTable } from '../routes';
import { endWithoutBody } from './body-refusal';
import { handleCall } from './call-handler';
import { Exchange } from './exchange';
import type { KeyGuard } from './key-guard';
import type { Forwarder } from './forwarder';
import type { QuotaGate } from './quota-gate';
import { RouteFinder, type RouteFinderOptions } from './route-finder';
import type { StopGate } from './stop-gate';
import type { TurnHandler } from './turn-handler';
import type { WireFormat } from './wire-format';

/** Copies of a body that exist at once while its parts are joined. */
const COPIES_OF_BODY = 2;

const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;

/** Time within which a complete request, including its body, must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;

/** Connections that the operating system accepts while the process is busy. */
const BACKLOG = 1024;

export interface GatewayServerOptions {
  readonly address: Address;
  readonly wire: WireFormat;
  readonly forwarder: Forwarder;
  readonly quotaGate: QuotaGate;
  readonly turnHandler: Pick<TurnHandler, 'handle'>;
  readonly keyGuard: Pick<KeyGuard, 'admit'>;
  /** Without it, requests are taken regardless of a planned stop. */
  readonly stopGate?: Pick<StopGate, 'findRefusal'> | undefined;
  readonly routes: () => RouteTable | undefined;
  readonly confirmation: RouteFinderOptions['confirmation'];
  /** While false, responses close their connections so that callers use other gateways. */
  readonly isReady: () => boolean;
  /** Memory for the bodies of requests and responses. */
  readonly budget: MemoryBudget;
  readonly reclaimer: MemoryReclaimer;
  /** Connections that may be open at once. */
  readonly connectionLimit: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** HTTP server for the requests of callers. */
export class GatewayServer implements Component, DrainableRequests {
  readonly #options: GatewayServerOptions;
  readonly #server: Server;
  readonly #listener: PersistentListener;
  readonly #idleConnections: IdleConnections;
  readonly #routeFinder: RouteFinder;
  readonly #sequence = new SequentialRequests();
  readonly #activeExchanges = new Set<Exchange>();
  /** Connections whose limit of headers is the present one, or a higher one. */
  #currentConnections = new WeakSet<Socket>();
  #isDraining = false;
  #onIdle: () => void = () => undefined;

  constructor(options: GatewayServerOptions) {
    this.#options = options;
    const serve = (request: IncomingMessage, response: ServerResponse) => {
      this.#serve(request, response).catch((error: unknown) => {
        options.logger.error({ event: 'request-failed', error: messageOf(error) });
        response.destroy();
      });
    };
    this.#server = createServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        noDelay: true,
      },
      serve,
    );
    // Otherwise Node.js would invite the body before the request is known to be admitted.
    this.#server.on('checkContinue', serve);
    const { address, connectionLimit: limit, clock, logger, metrics } = options;
    this.#listener = new PersistentListener({
      ...{ name: 'callers', server: this.#server, address, backlog: BACKLOG, clock, logger },
    });
    new ConnectionGuard(this.#server, { listener: 'callers', limit, clock, metrics });
    this.#idleConnections = new IdleConnections(this.#server);
    this.#routeFinder = new RouteFinder(options);
    this.#server.on('connection', (socket: Socket) => {
      this.#currentConnections.add(socket);
    });
    metrics.gauge('requests_under_way', () => this.#activeExchanges.size);
  }

  start(): Promise<void> {
    return this.#listener.start();
  }

  /** Whether callers can connect. */
  get isListening(): boolean {
    return this.#listener.isListening;
  }

  stop(): void {
    this.#listener.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Applies the limits of a new configuration. Those of time affect new connections only. Node.js
   * fixes the limit of headers when a connection opens, so the others are closed when it is raised.
   */
  applyLimits(limits: CallerLimits): void {
    const { headerBytes, headerMilliseconds, idleMilliseconds, bodyBytes } = limits;
    this.#options.budget.ensureCapacity(bodyBytes * COPIES_OF_BODY);
    const server = this.#server as Server & { maxHeaderSize?: number };
    const isRaised = headerBytes > (server.maxHeaderSize ?? maxHeaderSize);
    server.maxHeaderSize = headerBytes;
    if (isRaised) {
      this.#currentConnections = new WeakSet();
      this.#idleConnections.close();
    }
    server.headersTimeout = headerMilliseconds;
    server.keepAliveTimeout = idleMilliseconds;
  }

  /** Stops listening, closes idle connections and refuses new requests on the others. */
  refuseNew(): void {
    this.#isDraining = true;
    this.#listener.stop();
    this.#server.close();
    this.#idleConnections.close();
  }

  /** Ends the requests in progress with a response that says whether they may have run. */
  endRunning(): void {
    for (const exchange of this.#activeExchanges) {
      const { request } = exchange;
      // Reading the rest of its body now would close the connection under the response before it.
      const mustWait = !request.complete && this.#sequence.isWaiting(request);
      if (!mustWait) exchange.endForStop();
    }
  }

  /** Resolves once no request is in progress and all responses have been written. */
  whenIdle(): Promise<void> {
    if (this.#activeExchanges.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { wire, clock, logger, metrics, budget, reclaimer, isReady } = this.#options;
    const exchange = new Exchange({
      request,
      response,
      head: wire.readRequest(request.headers, request.rawHeaders),
      clock,
      logger,
      metrics,
      budget,
      reclaimer,
      closesConnection: () =>
        !(isReady() && this.#currentConnections.has(request.socket)) &&
        !this.#sequence.hasFollowing(request),
    });
    this.#activeExchanges.add(exchange);
    try {
      await this.#sequence.run(request, () => this.#handle(exchange));
    } finally {
      this.#activeExchanges.delete(exchange);
      if (this.#activeExchanges.size === 0) this.#onIdle();
    }
  }

  async #handle(exchange: Exchange): Promise<void> {
    const { logger } = this.#options;
    try {
      await this.#route(exchange);
    } catch (error) {
      logger.error({ event: 'request-failed', request: exchange.head.id, error: messageOf(error) });
      exchange.abort('internal error of the gateway');
    } finally {
      await exchange.whenWritten();
      exchange.release();
    }
  }

  async #route(exchange: Exchange): Promise<void> {
    if (this.#isDraining) {
      exchange.refuse(STOPPING);
      return;
    }
    const bodyBytes = this.#options.routes()?.configuration.limits.bodyBytes;
    if (bodyBytes !== undefined && isTooLong(exchange.request, bodyBytes)) {
      endWithoutBody(exchange, 'too-large');
      return;
    }
    if (bodyBytes !== undefined) exchange.startBody(bodyBytes);
    const lookup = await this.#routeFinder.find(exchange);
    if (lookup.kind === 'refused') {
      exchange.refuse(lookup.refusal);
      return;
    }
    const { route, table } = lookup;
    exchange.route = route;
    exchange.configurationVersion = table.configuration.version;
    const { turnHandler, keyGuard, stopGate } = this.#options;
    const refusal =
      stopGate?.findRefusal(exchange, route) ?? (await keyGuard.admit(exchange, route));
    if (refusal !== undefined) {
      exchange.refuse(refusal);
      return;
    }
    if (route.kind === 'stream') await turnHandler.handle(exchange, route, table);
    else await handleCall(this.#options, exchange, route, table);
  }
}

import type { IncomingMessage, ServerResponse } from 'node:http';
import { type DrainableRequests, InFlightTracker, messageOf } from '../core';
import { whenWritten } from '../http';
import { handleHealthRequest } from '../protocol';
import { handleChat } from './chat';
import { type EntryContext, receiveBody, requireConfiguration } from './context';
import { handlePrograms } from './programs';
import { notRunRefusal, sendRefusal, stoppingRefusal, toRefusal } from './refusal';
import { authenticate } from './request';
import { handleService } from './service';

/** Dispatches HTTP requests to their handlers and counts those in flight. */
export class EntryServer implements DrainableRequests {
  readonly #context: EntryContext;
  readonly #inFlight = new InFlightTracker();
  readonly #openResponses = new Set<ServerResponse>();
  #refusesNew = false;

  constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#inFlight.count;
  }

  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    if (this.#context.stop.hasBegun) response.shouldKeepAlive = false;
    if (handleHealthRequest(this, request, response)) return;
    this.#inFlight.track(this.#exchange(request, response));
  };

  get metrics() {
    return this.#context.metrics;
  }

  readonly notReady = (): string | undefined => {
    if (this.#context.stop.hasBegun) return 'shutting down';
    return this.#context.configuration.current === undefined ? 'no configuration' : undefined;
  };

  /** Closes each connection after its next response, so that callers move to other entries. */
  closeConnectionsAfterResponses(): void {
    for (const response of this.#openResponses) response.shouldKeepAlive = false;
  }

  refuseNew(): void {
    this.#refusesNew = true;
  }

  endRunning(): void {
    const { stop, logger } = this.#context;
    if (this.running > 0) logger.warn({ event: 'requests-ended', running: this.running });
    stop.endRequests();
  }

  whenIdle(): Promise<void> {
    return this.#inFlight.whenIdle();
  }

  /** Resolves once the response has been written, or its connection was closed. */
  async #exchange(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#openResponses.add(response);
    await whenWritten(response, this.#respond(request, response));
    this.#openResponses.delete(response);
  }

  async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { metrics, clock, logger } = this.#context;
    const startedAt = clock.monotonic();
    try {
      await this.#dispatch(request, response);
      metrics.count('requests_total{outcome="answered"}');
    } catch (error) {
      const refusal = toRefusal(error);
      metrics.count(`requests_total{outcome="${refusal.outcome}"}`);
      const cause = messageOf(refusal.cause ?? refusal);
      logger.warn({ event: 'refusal', code: refusal.code, outcome: refusal.outcome, cause });
      sendRefusal(response, refusal);
    }
    metrics.observe('request', clock.monotonic() - startedAt);
  }

  async #dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#refusesNew) {
      // A close with unread bytes would reset the connection and discard the response.
      await receiveBody(this.#context, request);
      throw stoppingRefusal('not-run');
    }
    const path = (request.url ?? '').split('?')[0] ?? '';
    if (request.method === 'POST' && path === '/v1/chat/completions') {
      await handleChat(this.#context, request, response);
    } else if (path === '/v1/programs' || path.startsWith('/v1/programs/')) {
      await handlePrograms(this.#context, request, response);
    } else if (path.startsWith('/services/')) {
      await handleService(this.#context, request, response);
    } else if (request.method === 'GET' && path === '/v1/models') {
      this.#listModels(request, response);
    } else {
      throw notRunRefusal(404, 'not-found', `no such path: ${path.slice(0, 200)}`);
    }
  }

  #listModels(request: IncomingMessage, response: ServerResponse): void {
    const configuration = requireConfiguration(this.#context);
    authenticate(request, configuration);
    const data = configuration.services
      .filter((service) => service.type === 'engine' && service.adoption !== 'not-ours')
      .map(({ model }) => ({ id: model, object: 'model', created: 0, owned_by: 'martenbay' }));
    response
      .writeHead(200, { 'content-type': 'application/json' })
      .end(JSON.stringify({ object: 'list', data }));
  }
}

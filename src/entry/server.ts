import type { IncomingMessage, ServerResponse } from 'node:http';
import { InFlightTracker, messageOf } from '../core';
import { handleHealthRequest } from '../protocol';
import { handleChat } from './chat';
import { type EntryContext, requireConfiguration } from './context';
import { handlePrograms } from './programs';
import { notRunRefusal, sendRefusal, toRefusal } from './refusal';
import { authenticate } from './request';
import { handleService } from './service';

/** Dispatches HTTP requests to their handlers and counts those in flight. */
export class EntryServer {
  readonly #context: EntryContext;
  readonly #inFlight = new InFlightTracker();
  #draining = false;

  constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#inFlight.count;
  }

  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    if (handleHealthRequest(this, request, response)) return;
    if (this.#draining) response.setHeader('connection', 'close');
    this.#inFlight.track(this.#respond(request, response));
  };

  get metrics() {
    return this.#context.metrics;
  }

  readonly notReady = (): string | undefined => {
    if (this.#draining) return 'shutting down';
    return this.#context.configuration.current === undefined ? 'no configuration' : undefined;
  };

  /**
   * Makes `/readyz` fail and closes connections after their next response; resolves once no request
   * is in flight.
   */
  drain(): Promise<void> {
    this.#draining = true;
    return this.#inFlight.whenIdle();
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

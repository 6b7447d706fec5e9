import type { IncomingMessage, ServerResponse } from 'node:http';
import { InFlight, messageOf } from '../core';
import { answerHealth } from '../protocol';
import { handleChat } from './chat';
import { type EntryContext, configurationOf } from './context';
import { handlePrograms } from './programs';
import { notRun, sendRefusal, toRefusal } from './refusal';
import { authenticate } from './request';
import { handleService } from './service';

/** Takes callers' requests, and tells when the last of them is answered. */
export class EntryServer {
  readonly #context: EntryContext;
  readonly #inFlight = new InFlight();
  #stopping = false;

  constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Requests that are not answered yet. */
  get running(): number {
    return this.#inFlight.count;
  }

  readonly handle = (request: IncomingMessage, response: ServerResponse): void => {
    if (answerHealth(this, request, response)) return;
    if (this.#stopping) response.setHeader('connection', 'close');
    this.#inFlight.track(this.#answer(request, response));
  };

  get metrics() {
    return this.#context.metrics;
  }

  readonly notReady = (): string | undefined => {
    if (this.#stopping) return 'shutting down';
    return this.#context.configuration.current === undefined ? 'no configuration' : undefined;
  };

  /** Turns the balancer away, and resolves once the requests under way are answered. */
  drain(): Promise<void> {
    this.#stopping = true;
    return this.#inFlight.idle();
  }

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { metrics, clock, logger } = this.#context;
    const started = clock.monotonic();
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
    metrics.observe('request', clock.monotonic() - started);
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
      throw notRun(404, 'not-found', `no such path: ${path.slice(0, 200)}`);
    }
  }

  #listModels(request: IncomingMessage, response: ServerResponse): void {
    const configuration = configurationOf(this.#context);
    authenticate(request, configuration);
    const data = configuration.services
      .filter((service) => service.type === 'engine' && service.adoption !== 'not-ours')
      .map(({ model }) => ({ id: model, object: 'model', created: 0, owned_by: 'martenbay' }));
    response
      .writeHead(200, { 'content-type': 'application/json' })
      .end(JSON.stringify({ object: 'list', data }));
  }
}

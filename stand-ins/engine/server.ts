import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod';
import { type Clock, type Component, delay } from '../../src/core';
import { PausePoint } from '../pause-point';
import { StandInServer, readText, sendJson } from '../http';
import { EventLog } from './events';
import { EngineModel, type StepResult } from './model';
import { OrderExecutor, engineOrderSchema } from './orders';
import type { EngineSettings } from './settings';
import { CompletionStream } from './streams';
import { generateCompletion, tokenize } from './text';

const chatSchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ content: z.unknown() })),
  max_tokens: z.int().positive().optional(),
  priority: z.int().optional(),
});

const kvImportSchema = z.object({ owner: z.string(), blocks: z.array(z.string()) });

const DEFAULT_MAX_TOKENS = 64;

/** A stand-in for a language-model engine with the streaming chat completions of the OpenAI API. */
export class EngineServer implements Component {
  readonly #settings: EngineSettings;
  readonly #clock: Clock;
  readonly #server: StandInServer;
  readonly #model: EngineModel;
  readonly #events: EventLog;
  readonly #orders: OrderExecutor;
  readonly #streams = new Map<string, CompletionStream>();
  #isStepping = false;
  #remainingBreaks: number;
  #reportedLoad = { running: 0, waiting: 0, at: -Infinity };
  #callCount = 0;
  readonly #pausePoint: PausePoint;

  constructor(settings: EngineSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    this.#remainingBreaks = settings['break-count'];
    this.#pausePoint = new PausePoint(settings['hold-after-tokens']);
    this.#events = new EventLog(
      {
        loseEvery: settings['lose-every-event'],
        delayMilliseconds: settings['event-delay-milliseconds'],
      },
      () => clock.monotonic(),
    );
    this.#model = new EngineModel({
      speed: {
        stepMilliseconds: settings['step-milliseconds'],
        sequenceMilliseconds: settings['sequence-milliseconds'],
        prefillTokenMilliseconds: settings['prefill-token-milliseconds'],
      },
      batchLimit: settings['batch-limit'],
      cacheBlocks: settings['cache-blocks'],
      onCacheChange: (change) => {
        this.#events.add(change);
      },
    });
    this.#orders = new OrderExecutor(settings.model, this.#model.cache, settings['checks-fencing']);
    this.#server = new StandInServer(settings.address, (request, response) =>
      this.#handle(request, response),
    );
  }

  start(): Promise<void> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'POST /v1/chat/completions':
        await this.#chat(request, response);
        return;
      case 'GET /held':
        await this.#pausePoint.reached;
        sendJson(response, 200, { held: true });
        return;
      case 'POST /release':
        this.#pausePoint.release();
        sendJson(response, 200, { held: false });
        return;
      case 'GET /load':
        sendJson(response, 200, this.#readLoad());
        return;
      case 'GET /cache':
        sendJson(response, 200, {
          owners: this.#model.cache.blockCountsByOwner(),
          calls: this.#callCount,
        });
        return;
      case 'GET /cache/events': {
        const after = Number(url.searchParams.get('after') ?? 0);
        sendJson(response, 200, { events: this.#events.after(after) });
        return;
      }
      case 'POST /orders': {
        const order = engineOrderSchema.parse(JSON.parse(await readText(request)));
        const taken = this.#orders.execute(order);
        sendJson(response, taken ? 200 : 409, { taken, state: this.#orders.state });
        return;
      }
      case 'POST /kv/export': {
        const { owner } = kvImportSchema
          .pick({ owner: true })
          .parse(JSON.parse(await readText(request)));
        sendJson(response, 200, { owner, blocks: this.#model.cache.exportOwner(owner) });
        return;
      }
      case 'POST /kv/import': {
        const { owner, blocks } = kvImportSchema.parse(JSON.parse(await readText(request)));
        const taken = this.#model.cache.importOwner(owner, blocks);
        sendJson(response, taken ? 200 : 507, { taken });
        return;
      }
      default:
        this.#handleStream(request, response, url);
    }
  }

  /** `GET /streams/{id}?after=N` resumes a stream, `DELETE` cancels it. */
  #handleStream(request: IncomingMessage, response: ServerResponse, url: URL): void {
    const id = /^\/streams\/([^/]+)$/.exec(url.pathname)?.[1] ?? '';
    const stream = this.#streams.get(id);
    if (stream === undefined) {
      sendJson(response, 404, { error: 'no such path or stream' });
    } else if (request.method === 'DELETE') {
      this.#cancel(id);
      sendJson(response, 200, { cancelled: true });
    } else {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      stream.resume(response, Number(url.searchParams.get('after') ?? 0));
    }
  }

  async #chat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#callCount += 1;
    const body = chatSchema.parse(JSON.parse(await readText(request)));
    if (this.#settings.hang) return;
    if (this.#settings['fail-status'] > 0) {
      sendJson(response, this.#settings['fail-status'], { error: 'a fault that was asked for' });
      return;
    }
    const id = String(request.headers['x-request-id'] ?? `call-${this.#callCount}`);
    const text = body.messages.map((message) => JSON.stringify(message)).join('\n');
    const prompt = tokenize(text);
    const lastMessage = JSON.stringify(body.messages.at(-1)?.content ?? '');
    const output = generateCompletion(text, lastMessage, body.max_tokens ?? DEFAULT_MAX_TOKENS);
    const isBreaking = this.#remainingBreaks > 0;
    if (isBreaking) this.#remainingBreaks -= 1;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    const head = { id, model: body.model, promptTokens: prompt.length };
    this.#streams.set(id, new CompletionStream(head, response, this.#settings, isBreaking));
    response.once('close', () => {
      this.#handleDisconnect(id);
    });
    const owner = String(request.headers['martenbay-program'] ?? id);
    this.#model.add({ id, owner, priority: body.priority ?? 0, prompt, output });
    if (!this.#isStepping) void this.#run();
  }

  /** Cancels the call unless it is resumable; a resumable call runs for `resume-milliseconds`. */
  #handleDisconnect(id: string): void {
    const stream = this.#streams.get(id);
    const resumeMilliseconds = this.#settings['resume-milliseconds'];
    stream?.detach();
    if (resumeMilliseconds === 0) this.#cancel(id);
    else
      this.#clock.after(resumeMilliseconds, () => {
        this.#cancel(id);
      });
  }

  #cancel(id: string): void {
    this.#model.cancel(id);
    this.#streams.delete(id);
  }

  async #run(): Promise<void> {
    this.#isStepping = true;
    while (this.#model.isBusy) {
      const result = this.#model.step();
      if (result.milliseconds > 0) await delay(this.#clock, result.milliseconds);
      else await new Promise((resolve) => setImmediate(resolve));
      this.#emit(result);
      await this.#pausePoint.advance(result.emissions.length);
    }
    this.#isStepping = false;
  }

  #emit(result: StepResult): void {
    for (const { id, token, isLast, cachedTokens } of result.emissions) {
      this.#streams.get(id)?.sendToken(token, isLast, cachedTokens);
    }
  }

  /** The load at its last update, which may be up to `load-lag-milliseconds` ago. */
  #readLoad(): { readonly running: number; readonly waiting: number } {
    const now = this.#clock.monotonic();
    if (now - this.#reportedLoad.at >= this.#settings['load-lag-milliseconds']) {
      const { running, waiting } = this.#model;
      this.#reportedLoad = { running, waiting, at: now };
    }
    const { running, waiting } = this.#reportedLoad;
    return { running, waiting };
  }
}

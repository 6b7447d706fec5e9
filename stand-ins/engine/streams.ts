import type { ServerResponse } from 'node:http';
import type { EngineSettings } from './settings';

/** What a stream tells of its call. */
export interface StreamHead {
  readonly id: string;
  readonly model: string;
  readonly promptTokens: number;
}

/** Unix time in seconds that every stand-in answer carries, so that sessions are repeatable. */
const CREATED = 1_700_000_000;

/** One answer under way: what was emitted, and the connection that reads it, if any. */
export class AnswerStream {
  readonly head: StreamHead;
  readonly #events: string[] = [];
  #tokens = 0;
  #response: ServerResponse | undefined;
  #ended = false;
  readonly #breakAfter: number;

  constructor(
    head: StreamHead,
    response: ServerResponse,
    settings: EngineSettings,
    breaks: boolean,
  ) {
    this.head = head;
    this.#response = response;
    this.#breakAfter = breaks ? settings['break-after-tokens'] : 0;
  }

  /** Sends one token, and breaks the connection off after it if that fault is asked for. */
  token(text: string, last: boolean, cachedTokens: number): void {
    this.#tokens += 1;
    this.#send(this.#chunk([{ index: 0, delta: { content: text }, finish_reason: null }]));
    if (this.#tokens === this.#breakAfter) {
      this.#response?.socket?.destroySoon();
      this.#response = undefined;
    }
    if (last) this.#finish(cachedTokens);
  }

  /** Continues on another connection after the first `after` events. */
  resume(response: ServerResponse, after: number): void {
    this.#response = response;
    for (const event of this.#events.slice(after)) response.write(event);
    if (this.#ended) response.end();
  }

  detach(): void {
    this.#response = undefined;
  }

  #finish(cachedTokens: number): void {
    const { promptTokens } = this.head;
    this.#send(this.#chunk([{ index: 0, delta: {}, finish_reason: 'stop' }]));
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: this.#tokens,
      total_tokens: promptTokens + this.#tokens,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
    this.#send(this.#chunk([], { usage }));
    this.#sendText('data: [DONE]\n\n');
    this.#ended = true;
    this.#response?.end();
  }

  #chunk(choices: readonly unknown[], extra: object = {}): object {
    const { id, model } = this.head;
    const object = 'chat.completion.chunk';
    return { id, object, created: CREATED, model, choices, ...extra };
  }

  #send(value: object): void {
    this.#sendText(`id: ${this.#events.length + 1}\ndata: ${JSON.stringify(value)}\n\n`);
  }

  #sendText(text: string): void {
    this.#events.push(text);
    this.#response?.write(text);
  }
}

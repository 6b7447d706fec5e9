import type { ServerResponse } from 'node:http';
import type { EngineSettings } from './settings';

/** Fields of the call that every chunk or the usage repeats. */
export interface StreamHead {
  readonly id: string;
  readonly model: string;
  readonly promptTokens: number;
}

/** Fixed creation time of all chunks, so that sessions are reproducible. */
const CREATED_UNIX_SECONDS = 1_700_000_000;

/**
 * Server-sent events of one completion, kept for resumption, and the connection that reads them.
 */
export class CompletionStream {
  readonly head: StreamHead;
  readonly #events: string[] = [];
  #tokenCount = 0;
  #response: ServerResponse | undefined;
  #isEnded = false;
  readonly #breakAfterTokens: number;

  constructor(
    head: StreamHead,
    response: ServerResponse,
    settings: EngineSettings,
    isBreaking: boolean,
  ) {
    this.head = head;
    this.#response = response;
    this.#breakAfterTokens = isBreaking ? settings['break-after-tokens'] : 0;
  }

  /** Sends one token; closes the connection after it if `break-after-tokens` is reached. */
  sendToken(text: string, isLast: boolean, cachedTokens: number): void {
    this.#tokenCount += 1;
    this.#send(this.#chunk([{ index: 0, delta: { content: text }, finish_reason: null }]));
    if (this.#tokenCount === this.#breakAfterTokens) {
      this.#response?.socket?.destroySoon();
      this.#response = undefined;
    }
    if (isLast) this.#finish(cachedTokens);
  }

  /** Continues on a new connection, after the first `after` events. */
  resume(response: ServerResponse, after: number): void {
    this.#response = response;
    for (const event of this.#events.slice(after)) response.write(event);
    if (this.#isEnded) response.end();
  }

  detach(): void {
    this.#response = undefined;
  }

  #finish(cachedTokens: number): void {
    const { promptTokens } = this.head;
    this.#send(this.#chunk([{ index: 0, delta: {}, finish_reason: 'stop' }]));
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: this.#tokenCount,
      total_tokens: promptTokens + this.#tokenCount,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
    this.#send(this.#chunk([], { usage }));
    this.#sendText('data: [DONE]\n\n');
    this.#isEnded = true;
    this.#response?.end();
  }

  #chunk(choices: readonly unknown[], extra: object = {}): object {
    const { id, model } = this.head;
    const object = 'chat.completion.chunk';
    return { id, object, created: CREATED_UNIX_SECONDS, model, choices, ...extra };
  }

  #send(value: object): void {
    this.#sendText(`id: ${this.#events.length + 1}\ndata: ${JSON.stringify(value)}\n\n`);
  }

  #sendText(text: string): void {
    this.#events.push(text);
    this.#response?.write(text);
  }
}

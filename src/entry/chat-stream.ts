import type { ServerResponse } from 'node:http';
import type { TurnAnswer } from '../state';
import { formatUsage } from './chat-answer';

/** Bytes that may wait for a caller that reads slowly, before it is cut off. */
const UNREAD_LIMIT_BYTES = 1024 * 1024;

/**
 * Writes one chat answer to a caller as server-sent events. The last event is sent only once the
 * answer is stored, so that a caller that has a whole answer can rely on it being the program's.
 */
export class ChatStream {
  readonly #response: ServerResponse;
  readonly #includeUsage: boolean;
  #begun = false;

  constructor(response: ServerResponse, includeUsage: boolean) {
    this.#response = response;
    this.#includeUsage = includeUsage;
  }

  /** Whether anything was sent, so that the answer can't be begun anew. */
  get begun(): boolean {
    return this.#begun;
  }

  /** Sends one event's data as the engine wrote it. */
  forward(data: string): void {
    if (this.#response.destroyed) return;
    this.#begin();
    this.#response.write(`data: ${data}\n\n`);
    if (this.#response.writableLength > UNREAD_LIMIT_BYTES) this.#response.destroy();
  }

  /** Sends the end of the answer. */
  finish(answer: TurnAnswer): void {
    this.#sendChunk(answer, [{ index: 0, delta: {}, finish_reason: answer.finishReason }]);
    if (this.#includeUsage) this.#sendChunk(answer, [], { usage: formatUsage(answer.usage) });
    this.#response.end('data: [DONE]\n\n');
  }

  /** Sends a stored answer whole. */
  replay(answer: TurnAnswer): void {
    const delta = {
      ...answer.message,
      ...(Array.isArray(answer.message['tool_calls'])
        ? {
            tool_calls: answer.message['tool_calls'].map((call: object, index) => ({
              index,
              ...call,
            })),
          }
        : {}),
    };
    this.#sendChunk(answer, [{ index: 0, delta, finish_reason: null }]);
    this.finish(answer);
  }

  #sendChunk(answer: TurnAnswer, choices: readonly unknown[], extra: object = {}): void {
    const { id, model, created } = answer;
    const chunk = { id, object: 'chat.completion.chunk', created, model, choices, ...extra };
    this.forward(JSON.stringify(chunk));
  }

  #begin(): void {
    if (this.#begun) return;
    this.#begun = true;
    this.#response.setHeader('content-type', 'text/event-stream; charset=utf-8');
    this.#response.setHeader('cache-control', 'no-cache');
    this.#response.setHeader('x-accel-buffering', 'no');
    this.#response.writeHead(200);
  }
}

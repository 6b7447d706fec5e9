import type { ServerResponse } from 'node:http';
import type { TurnAnswer } from '../state';
import { formatUsage } from './chat-answer';

/** Unsent bytes above which a slow caller's connection is closed. */
const WRITE_BUFFER_LIMIT_BYTES = 1024 * 1024;

/**
 * Writes one chat answer to a caller as server-sent events. The final events are sent only after
 * the answer is stored: a caller that received a complete answer has the one in the history.
 */
export class ChatStream {
  readonly #response: ServerResponse;
  readonly #includeUsage: boolean;
  #hasStarted = false;

  constructor(response: ServerResponse, includeUsage: boolean) {
    this.#response = response;
    this.#includeUsage = includeUsage;
  }

  /** Whether an event was sent; after that the answer can't be restarted. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Sends the data of one event unchanged. */
  forward(data: string): void {
    if (this.#response.destroyed) return;
    this.#start();
    this.#response.write(`data: ${data}\n\n`);
    if (this.#response.writableLength > WRITE_BUFFER_LIMIT_BYTES) this.#response.destroy();
  }

  /** Sends the finish reason, the usage if requested, and `[DONE]`. */
  finish(answer: TurnAnswer): void {
    this.#sendChunk(answer, [{ index: 0, delta: {}, finish_reason: answer.finishReason }]);
    if (this.#includeUsage) this.#sendChunk(answer, [], { usage: formatUsage(answer.usage) });
    this.#response.end('data: [DONE]\n\n');
  }

  /** Sends a stored answer as a complete stream. */
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

  #sendChunk(answer: TurnAnswer, choices: readonly unknown[], extraFields: object = {}): void {
    const { id, model, created } = answer;
    const chunk = { id, object: 'chat.completion.chunk', created, model, choices, ...extraFields };
    this.forward(JSON.stringify(chunk));
  }

  #start(): void {
    if (this.#hasStarted) return;
    this.#hasStarted = true;
    this.#response.setHeader('content-type', 'text/event-stream; charset=utf-8');
    this.#response.setHeader('cache-control', 'no-cache');
    this.#response.setHeader('x-accel-buffering', 'no');
    this.#response.writeHead(200);
  }
}

import type { Message, TurnAnswer, Usage } from '../state';
import type { ChatChunk, ToolCallDelta } from './chat-schema';

interface ToolCall {
  readonly id: string;
  readonly type: string;
  readonly function: { readonly name: string; readonly arguments: string };
}

/** Puts a streamed answer together. */
export class AnswerBuilder {
  #id = '';
  #model = '';
  #created = 0;
  readonly #content: string[] = [];
  readonly #toolCalls = new Map<number, ToolCall>();
  #finishReason: string | undefined;
  #usage: Usage | undefined;

  /** Whether any part of the answer has come. */
  get begun(): boolean {
    return this.#content.length > 0 || this.#toolCalls.size > 0;
  }

  add(chunk: ChatChunk): void {
    this.#id = chunk.id;
    this.#model = chunk.model;
    this.#created = chunk.created;
    for (const choice of chunk.choices) {
      if (choice.delta.content) this.#content.push(choice.delta.content);
      for (const delta of choice.delta.tool_calls ?? []) this.#addToolCall(delta);
      this.#finishReason = choice.finish_reason ?? this.#finishReason;
    }
    if (chunk.usage) {
      this.#usage = {
        promptTokens: chunk.usage.prompt_tokens,
        completionTokens: chunk.usage.completion_tokens,
        cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
      };
    }
  }

  /** The whole answer; nothing when the stream ended before the engine had finished. */
  build(): TurnAnswer | undefined {
    if (this.#finishReason === undefined || this.#usage === undefined) return undefined;
    const content = this.#content.length === 0 ? null : this.#content.join('');
    const toolCalls = [...this.#toolCalls.values()];
    const message: Message =
      toolCalls.length === 0
        ? { role: 'assistant', content }
        : { role: 'assistant', content, tool_calls: toolCalls };
    return {
      kind: 'turn',
      id: this.#id,
      model: this.#model,
      created: this.#created,
      message,
      finishReason: this.#finishReason,
      usage: this.#usage,
    };
  }

  #addToolCall(delta: ToolCallDelta): void {
    const known = this.#toolCalls.get(delta.index);
    const name = `${known?.function.name ?? ''}${delta.function?.name ?? ''}`;
    const text = `${known?.function.arguments ?? ''}${delta.function?.arguments ?? ''}`;
    this.#toolCalls.set(delta.index, {
      id: delta.id ?? known?.id ?? '',
      type: delta.type ?? known?.type ?? 'function',
      function: { name, arguments: text },
    });
  }
}

/** Fields of a message that the model sees; callers' libraries add others when they echo one. */
const MESSAGE_FIELDS = ['role', 'content', 'name', 'tool_calls', 'tool_call_id'] as const;

/** Reduces a message to what the model sees, so that an echoed answer equals the stored one. */
export function normalizeMessage(message: Message): Message {
  const kept = MESSAGE_FIELDS.flatMap((field) => {
    const value = message[field];
    const absent = value === undefined || (value === null && field !== 'content');
    return absent ? [] : [[field, value] as const];
  });
  const content = message['content'] === undefined ? [['content', null] as const] : [];
  return { ...Object.fromEntries([...kept, ...content]), role: message.role };
}

/** Renders an answer as the OpenAI API's chat completion. */
export function formatCompletion(answer: TurnAnswer): unknown {
  return {
    id: answer.id,
    object: 'chat.completion',
    created: answer.created,
    model: answer.model,
    choices: [
      {
        index: 0,
        message: { refusal: null, ...answer.message },
        logprobs: null,
        finish_reason: answer.finishReason,
      },
    ],
    usage: formatUsage(answer.usage),
  };
}

/** Renders token counts as the OpenAI API does. */
export function formatUsage(usage: Usage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

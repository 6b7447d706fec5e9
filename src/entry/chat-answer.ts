import type { Message, TurnAnswer, Usage } from '../state';
import type { ChatChunk, ToolCallDelta } from './chat-schema';

interface ToolCall {
  readonly id: string;
  readonly type: string;
  readonly function: { readonly name: string; readonly arguments: string };
}

/** Assembles an answer from the chunks of an engine's stream. */
export class AnswerBuilder {
  #id = '';
  #model = '';
  #created = 0;
  readonly #content: string[] = [];
  readonly #toolCalls = new Map<number, ToolCall>();
  #finishReason: string | undefined;
  #usage: Usage | undefined;

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

  /** The complete answer; undefined when no finish reason or no usage was received. */
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
    const previous = this.#toolCalls.get(delta.index);
    const name = `${previous?.function.name ?? ''}${delta.function?.name ?? ''}`;
    const argumentsText = `${previous?.function.arguments ?? ''}${delta.function?.arguments ?? ''}`;
    this.#toolCalls.set(delta.index, {
      id: delta.id ?? previous?.id ?? '',
      type: delta.type ?? previous?.type ?? 'function',
      function: { name, arguments: argumentsText },
    });
  }
}

/** Message fields that the model sees; client libraries add others when they resend an answer. */
const MESSAGE_FIELDS = ['role', 'content', 'name', 'tool_calls', 'tool_call_id'] as const;

/** Drops fields that the model does not see, so that a resent answer equals the stored one. */
export function normalizeMessage(message: Message): Message {
  const present = MESSAGE_FIELDS.flatMap((field) => {
    const value = message[field];
    const isAbsent = value === undefined || (value === null && field !== 'content');
    return isAbsent ? [] : [[field, value] as const];
  });
  const content = message['content'] === undefined ? [['content', null] as const] : [];
  return { ...Object.fromEntries([...present, ...content]), role: message.role };
}

/** Formats an answer as an OpenAI `chat.completion` object. */
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

/** Formats token counts as an OpenAI `usage` object. */
export function formatUsage(usage: Usage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

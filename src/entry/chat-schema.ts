import * as z from 'zod';
import { messageSchema } from '../state/records';

/** Fields of a chat completion request that martenbay reads; others are forwarded unchanged. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  n: z.literal(1, 'only one choice a call').nullish(),
});
export type ChatRequest = Readonly<z.output<typeof chatRequestSchema>>;

const toolCallDeltaSchema = z.looseObject({
  index: z.int().nonnegative(),
  id: z.string().nullish(),
  type: z.string().nullish(),
  function: z
    .looseObject({ name: z.string().nullish(), arguments: z.string().nullish() })
    .nullish(),
});
export type ToolCallDelta = Readonly<z.output<typeof toolCallDeltaSchema>>;

/** A `chat.completion.chunk` event in an engine's stream. */
export const chatChunkSchema = z.looseObject({
  id: z.string(),
  model: z.string(),
  created: z.number(),
  choices: z.array(
    z.looseObject({
      delta: z.looseObject({
        role: z.string().nullish(),
        content: z.string().nullish(),
        tool_calls: z.array(toolCallDeltaSchema).nullish(),
      }),
      finish_reason: z.string().nullish(),
    }),
  ),
  usage: z
    .looseObject({
      prompt_tokens: z.int().nonnegative(),
      completion_tokens: z.int().nonnegative(),
      prompt_tokens_details: z
        .looseObject({ cached_tokens: z.int().nonnegative().nullish() })
        .nullish(),
    })
    .nullish(),
});
export type ChatChunk = Readonly<z.output<typeof chatChunkSchema>>;

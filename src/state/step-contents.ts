import * as z from 'zod';
import type { BeginDecision, BeginOutcome, CompleteDecision, CompleteOutcome } from './outcomes';
import { type Answer, type Message, answerSchema, messageSchema } from './records';

/** Stores texts that the state refers to by handle, so that it does not hold them in memory. */
export interface ContentWriter {
  /** Stores a text and returns its handle. */
  put(text: string): number;
  drop(handle: number): void;
}

/** Content of a done step: the messages that it added to the history, and its answer. */
const stepContentSchema = z.object({
  messages: z.array(messageSchema).readonly(),
  answer: answerSchema,
});
type StepContent = Readonly<z.output<typeof stepContentSchema>>;

export function encodeStepContent(messages: readonly Message[], answer: Answer): string {
  return JSON.stringify({ messages, answer } satisfies StepContent);
}

/** Handles of the contents that the outcome needs, in order. */
export function contentHandlesOf(decision: BeginDecision | CompleteDecision): readonly number[] {
  if (decision.outcome === 'run') return decision.history;
  if (decision.outcome === 'replay') return [decision.content];
  if (decision.outcome !== 'superseded') return [];
  return decision.content === undefined ? [] : [decision.content];
}

/** Replaces handles by their texts; `texts` are those of {@link contentHandlesOf}. */
export function toBeginOutcome(decision: BeginDecision, texts: readonly string[]): BeginOutcome {
  switch (decision.outcome) {
    case 'run':
      return { ...decision, history: texts.flatMap((text) => decodeStepContent(text).messages) };
    case 'replay': {
      const { outcome, sequence } = decision;
      return { outcome, sequence, answer: decodeStepContent(texts[0] ?? '').answer };
    }
    default:
      return decision;
  }
}

/** Replaces handles by their texts; `texts` are those of {@link contentHandlesOf}. */
export function toCompleteOutcome(
  decision: CompleteDecision,
  texts: readonly string[],
): CompleteOutcome {
  if (decision.outcome === 'recorded') return decision;
  const [text] = texts;
  return {
    outcome: 'superseded',
    answer: text === undefined ? undefined : decodeStepContent(text).answer,
  };
}

function decodeStepContent(text: string): StepContent {
  return stepContentSchema.parse(JSON.parse(text));
}

import * as z from 'zod';
import type { BeginDecision, BeginOutcome, CompleteDecision, CompleteOutcome } from './outcomes';
import { type Answer, type Message, answerSchema, messageSchema } from './records';

/** Texts that the state refers to by handle, so that histories need no memory. */
export interface Contents {
  /** Takes a text; returns its handle. */
  put(text: string): number;
  drop(handle: number): void;
}

/** What a done step keeps: the messages that it added to the history, and its answer. */
const stepContentSchema = z.object({
  messages: z.array(messageSchema).readonly(),
  answer: answerSchema,
});
type StepContent = Readonly<z.output<typeof stepContentSchema>>;

/** Encodes the content of a step. */
export function encodeStepContent(messages: readonly Message[], answer: Answer): string {
  return JSON.stringify({ messages, answer } satisfies StepContent);
}

/** Handles of what has to be read before a decision can be told. */
export function contentsOf(decision: BeginDecision | CompleteDecision): readonly number[] {
  if (decision.outcome === 'run') return decision.history;
  if (decision.outcome === 'replay') return [decision.content];
  if (decision.outcome !== 'superseded') return [];
  return decision.content === undefined ? [] : [decision.content];
}

/** Puts the texts that {@link contentsOf} named into the outcome of a begin. */
export function fillBegin(decision: BeginDecision, texts: readonly string[]): BeginOutcome {
  switch (decision.outcome) {
    case 'run':
      return { ...decision, history: texts.flatMap((text) => decode(text).messages) };
    case 'replay': {
      const { outcome, sequence } = decision;
      return { outcome, sequence, answer: decode(texts[0] ?? '').answer };
    }
    default:
      return decision;
  }
}

/** The same for the outcome of a completion. */
export function fillComplete(
  decision: CompleteDecision,
  texts: readonly string[],
): CompleteOutcome {
  if (decision.outcome === 'recorded') return decision;
  const [text] = texts;
  return { outcome: 'superseded', answer: text === undefined ? undefined : decode(text).answer };
}

function decode(text: string): StepContent {
  return stepContentSchema.parse(JSON.parse(text));
}

import * as z from 'zod';

/** A chat message, reduced to the fields that the model sees. */
export const messageSchema = z.looseObject({ role: z.string() });
export type Message = Readonly<z.output<typeof messageSchema>>;

export const usageSchema = z.object({
  promptTokens: z.int().nonnegative(),
  completionTokens: z.int().nonnegative(),
  /** Prompt tokens that the engine found in its cache. */
  cachedTokens: z.int().nonnegative(),
});
export type Usage = Readonly<z.output<typeof usageSchema>>;

const turnAnswer = z.object({
  kind: z.literal('turn'),
  id: z.string(),
  model: z.string(),
  /** Unix time in seconds. */
  created: z.number(),
  message: messageSchema,
  finishReason: z.string(),
  usage: usageSchema,
});
export type TurnAnswer = Readonly<z.output<typeof turnAnswer>>;

const callAnswer = z.object({
  kind: z.literal('call'),
  status: z.int(),
  contentType: z.string(),
  /** The body's bytes in base64. */
  body: z.string(),
});
export type CallAnswer = Readonly<z.output<typeof callAnswer>>;

/** A whole answer, kept so that a resend of the same request gets it again. */
export const answerSchema = z.discriminatedUnion('kind', [turnAnswer, callAnswer]);
export type Answer = Readonly<z.output<typeof answerSchema>>;

/** Where a call that may not be repeated was sent. */
export const claimSchema = z.object({
  target: z.string(),
  /** Incarnation of the sidecar that was to admit it; another one refuses it. */
  incarnation: z.string(),
});
export type Claim = Readonly<z.output<typeof claimSchema>>;

interface StepBase {
  readonly sequence: number;
  readonly requestDigest: string;
  /** Identifies this run of the step; a later run has another. */
  readonly attempt: string;
}

/** A step whose answer is awaited. */
export interface RunningStep extends StepBase {
  readonly state: 'running';
  /** The entry process that works on it, as name/incarnation. */
  readonly entry: string;
  /** Present for calls that may not be repeated. */
  readonly claim: Claim | undefined;
  readonly reservedTokens: number;
}

/** A step whose answer is known. */
export interface DoneStep extends StepBase {
  readonly state: 'done';
  /** Handle of the content that holds the answer, and the messages that the step added. */
  readonly content: number;
}

/** A step that may not be repeated and of which nobody can tell whether it ran. */
export interface UnknownStep extends StepBase {
  readonly state: 'unknown';
}

/** One turn or service call of a program. */
export type Step = RunningStep | DoneStep | UnknownStep;

/** What a program and its sub-agents have used, in tokens and calls. */
export interface Spending {
  readonly tokenLimit: number;
  readonly callLimit: number;
  readonly spentTokens: number;
  readonly spentCalls: number;
  readonly reservedTokens: number;
  readonly reservedCalls: number;
}

export type EndReason = 'completed' | 'deleted' | 'idle' | 'deadline' | 'parent-ended';

/** One program; times are wall time in milliseconds. */
export interface Program {
  readonly id: string;
  /** The program whose budget is drawn on; its own id for one without a parent. */
  readonly root: string;
  readonly parent: string | undefined;
  readonly team: string;
  readonly kind: string;
  readonly services: readonly string[];
  readonly turnLimit: number;
  readonly idleMilliseconds: number;
  readonly createdAt: number;
  readonly deadlineAt: number;
  readonly lastActivityAt: number;
  readonly endReason: EndReason | undefined;
  readonly endedAt: number | undefined;
  /** Length of the history, whose messages are in the contents of the done steps. */
  readonly messageCount: number;
  /** Digest of the whole history; empty before the first message. */
  readonly digest: string;
  /** Tokens of the history at the last answer. */
  readonly contextTokens: number;
  readonly steps: ReadonlyMap<number, Step>;
  readonly nextSequence: number;
  /** Sequences of the steps that were begun with an idempotency key. */
  readonly keys: ReadonlyMap<string, number>;
  readonly lastTarget: string | undefined;
  /** Targets that may hold cache of this program. */
  readonly holders: readonly string[];
}

/** An order to a target, kept until its sidecar has confirmed it. */
export const orderSchema = z.object({
  id: z.string(),
  target: z.string(),
  kind: z.literal('release-cache'),
  program: z.string(),
});
export type Order = Readonly<z.output<typeof orderSchema>>;

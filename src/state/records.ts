import * as z from 'zod';

/** A chat message with the fields that the model receives. */
export const messageSchema = z.looseObject({ role: z.string() });
export type Message = Readonly<z.output<typeof messageSchema>>;

export const usageSchema = z.object({
  promptTokens: z.int().nonnegative(),
  completionTokens: z.int().nonnegative(),
  /** Prompt tokens that were in the engine's prefix cache. */
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
  /** Response body in base64. */
  body: z.string(),
});
export type CallAnswer = Readonly<z.output<typeof callAnswer>>;

/** A complete answer, stored so that a repeated request gets it again. */
export const answerSchema = z.discriminatedUnion('kind', [turnAnswer, callAnswer]);
export type Answer = Readonly<z.output<typeof answerSchema>>;

/** The target that a non-repeatable call was sent to. */
export const claimSchema = z.object({
  target: z.string(),
  /** Incarnation of the target's sidecar; any other incarnation refuses the call. */
  incarnation: z.string(),
});
export type Claim = Readonly<z.output<typeof claimSchema>>;

interface StepBase {
  readonly sequence: number;
  readonly requestDigest: string;
  /** Id of the attempt that runs or ran this step. */
  readonly attempt: string;
}

export interface RunningStep extends StepBase {
  readonly state: 'running';
  /** The entry process that runs it, as name/incarnation. */
  readonly entry: string;
  /** Present for non-repeatable calls. */
  readonly claim: Claim | undefined;
  readonly reservedTokens: number;
}

export interface DoneStep extends StepBase {
  readonly state: 'done';
  /** Handle of the answer and the messages that the step added. */
  readonly content: number;
}

/** A non-repeatable step of which it is not known whether it ran. */
export interface UnknownStep extends StepBase {
  readonly state: 'unknown';
}

/** A turn or service call of a program. */
export type Step = RunningStep | DoneStep | UnknownStep;

/** Tokens and calls of a root program and its descendants. */
export interface Spending {
  readonly tokenLimit: number;
  readonly callLimit: number;
  readonly spentTokens: number;
  readonly spentCalls: number;
  readonly reservedTokens: number;
  readonly reservedCalls: number;
}

export type EndReason = 'completed' | 'deleted' | 'idle' | 'deadline' | 'parent-ended';

/** Times are wall time in milliseconds. */
export interface Program {
  readonly id: string;
  /** Top-level ancestor, whose budget is used; the program's own id if it has no parent. */
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
  /** Length of the history; its messages are in the contents of the done steps. */
  readonly messageCount: number;
  /** Digest of the full history; empty before the first message. */
  readonly digest: string;
  /** Tokens of the history as of the last engine turn. */
  readonly contextTokens: number;
  readonly steps: ReadonlyMap<number, Step>;
  readonly nextSequence: number;
  /** Sequences of steps by idempotency key. */
  readonly keys: ReadonlyMap<string, number>;
  readonly lastTarget: string | undefined;
  /** When the last engine turn was completed; undefined also if an earlier version completed it. */
  readonly lastTurnEndedAt: number | undefined;
  /** Targets that may have cached prompts of this program. */
  readonly holders: readonly string[];
}

/** A command to a target, stored until its sidecar confirms it. */
export const orderSchema = z.object({
  id: z.string(),
  target: z.string(),
  kind: z.literal('release-cache'),
  program: z.string(),
});
export type Order = Readonly<z.output<typeof orderSchema>>;

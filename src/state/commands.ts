import * as z from 'zod';
import { sourceFileSchema } from '../configuration';
import { answerSchema, claimSchema, messageSchema, usageSchema } from './records';

const id = z.string().min(1).max(200);
const at = z.number();

export const createProgramSchema = z.object({
  id,
  /** Absent for the team's default kind. */
  kind: z.string().optional(),
  team: z.string(),
  parent: id.optional(),
  /** Number of the configuration that the asker has in force; the leader waits until it has it. */
  configurationNumber: z.int().nonnegative(),
});

/** A kind of program as it was in force when a program of it was started. */
export const kindInForceSchema = z.object({
  outcome: z.literal('kind'),
  name: z.string(),
  services: z.array(z.string()).readonly(),
  turnLimit: z.int(),
  idleMilliseconds: z.number(),
  lifeMilliseconds: z.number(),
  tokenLimit: z.int(),
  callLimit: z.int(),
});

export const beginStepSchema = z.object({
  program: id,
  team: z.string(),
  /** Absent: the next one in the program's order. */
  sequence: z.int().positive().optional(),
  /** The caller's idempotency key, which stands for a sequence that it does not number. */
  key: z.string().max(255).optional(),
  attempt: id,
  entry: id,
  service: z.string(),
  requestDigest: z.string(),
  /** Creates the program first, for a call that names none. */
  create: createProgramSchema.optional(),
  history: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('none') }),
    z.object({ kind: z.literal('append') }),
    /** Digests of all prefixes of the message list that the caller sent. */
    z.object({ kind: z.literal('whole'), digests: z.array(z.string()).readonly() }),
  ]),
  claim: claimSchema.optional(),
  /** Tokens of the messages and the output limit, at most. */
  newTokens: z.int().nonnegative(),
  outputTokens: z.int().nonnegative(),
});

export const completeStepSchema = z.object({
  program: id,
  sequence: z.int().positive(),
  attempt: id,
  answer: answerSchema,
  /** Messages that the turn adds to the history, the answer last. */
  messages: z.array(messageSchema).readonly(),
  usage: usageSchema.optional(),
  target: z.string(),
  /** Ends the program with this step. */
  end: z.boolean(),
});

export const abandonStepSchema = z.object({
  program: id,
  sequence: z.int().positive(),
  attempt: id,
  /** Whether an engine may have worked on it, so that its tokens count as spent. */
  spent: z.boolean(),
  /** Targets that may hold cache of it. */
  holders: z.array(z.string()).readonly(),
});

export const resolveStepSchema = z.object({
  program: id,
  sequence: z.int().positive(),
  attempt: id,
  finding: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('not-run') }),
    z.object({ kind: z.literal('answered'), answer: answerSchema }),
    z.object({ kind: z.literal('unknown') }),
  ]),
});

export const endProgramSchema = z.object({
  program: id,
  reason: z.enum(['completed', 'deleted', 'idle', 'deadline', 'parent-ended']),
});

export const acceptConfigurationSchema = z.object({
  number: z.int().positive(),
  digest: z.string(),
  files: z.array(sourceFileSchema).readonly(),
});

/** Everything that changes the programs of a group. `at` is the leader's wall time. */
export const commandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('create-program'),
    at,
    input: createProgramSchema,
    kindInForce: kindInForceSchema,
  }),
  z.object({
    kind: z.literal('begin-step'),
    at,
    input: beginStepSchema,
    /** Attempt that the leader found dead, whose place this one takes. */
    displaces: id.optional(),
    /** For the program that it creates. */
    kindInForce: kindInForceSchema.optional(),
  }),
  z.object({ kind: z.literal('complete-step'), at, input: completeStepSchema }),
  z.object({ kind: z.literal('abandon-step'), at, input: abandonStepSchema }),
  z.object({ kind: z.literal('resolve-step'), at, input: resolveStepSchema }),
  z.object({ kind: z.literal('end-program'), at, input: endProgramSchema }),
  /** Drops programs that ended long ago, with their answers. */
  z.object({ kind: z.literal('forget-programs'), at, programs: z.array(id).readonly() }),
  z.object({ kind: z.literal('confirm-orders'), at, orders: z.array(id).readonly() }),
]);

export type Command = Readonly<z.output<typeof commandSchema>>;
export type KindInForce = Readonly<z.output<typeof kindInForceSchema>>;
export type CreateProgram = Readonly<z.output<typeof createProgramSchema>>;
export type BeginStep = Readonly<z.output<typeof beginStepSchema>>;
export type CompleteStep = Readonly<z.output<typeof completeStepSchema>>;
export type AbandonStep = Readonly<z.output<typeof abandonStepSchema>>;
export type ResolveStep = Readonly<z.output<typeof resolveStepSchema>>;
export type EndProgram = Readonly<z.output<typeof endProgramSchema>>;
export type AcceptConfiguration = Readonly<z.output<typeof acceptConfigurationSchema>>;

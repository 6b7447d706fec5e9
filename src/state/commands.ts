import * as z from 'zod';
import { sourceFileSchema } from '../configuration';
import { answerSchema, claimSchema, messageSchema, usageSchema } from './records';

const id = z.string().min(1).max(200);
const at = z.number();

export const createProgramSchema = z.object({
  id,
  /** If absent, the team's default kind is used. */
  kind: z.string().optional(),
  team: z.string(),
  parent: id.optional(),
  /** Number of the calling entry's configuration; the leader waits until its own is not older. */
  configurationNumber: z.int().nonnegative(),
});

/** Settings of a program kind, copied from the configuration when a program is created. */
export const resolvedKindSchema = z.object({
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
  /** If absent, the next sequence of the program. */
  sequence: z.int().positive().optional(),
  /** The caller's idempotency key, for requests without a sequence. */
  key: z.string().max(255).optional(),
  attempt: id,
  entry: id,
  service: z.string(),
  requestDigest: z.string(),
  /** Creates the program first, for a call that names no program. */
  create: createProgramSchema.optional(),
  history: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('none') }),
    z.object({ kind: z.literal('append') }),
    /** Digest of each prefix of the message list that the caller sent, shortest first. */
    z.object({ kind: z.literal('whole'), digests: z.array(z.string()).readonly() }),
  ]),
  claim: claimSchema.optional(),
  /** Upper bounds: tokens of the new messages, and of the output. */
  newTokens: z.int().nonnegative(),
  outputTokens: z.int().nonnegative(),
});

export const completeStepSchema = z.object({
  program: id,
  sequence: z.int().positive(),
  attempt: id,
  answer: answerSchema,
  /** Messages that the turn adds to the history, with the answer last. */
  messages: z.array(messageSchema).readonly(),
  usage: usageSchema.optional(),
  target: z.string(),
  /** Whether the program ends with this step. */
  end: z.boolean(),
});

export const abandonStepSchema = z.object({
  program: id,
  sequence: z.int().positive(),
  attempt: id,
  /** Whether an engine may have processed it, so that its reserved tokens count as spent. */
  spent: z.boolean(),
  /** Targets that may have cached its prompt. */
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

/**
 * Replaces the replicated names of the leaving hosts. Members of earlier versions read the entry as a
 * configuration without files, which they refuse without effect.
 */
export const recordLeavingHostsSchema = z.object({
  number: z.literal(1),
  digest: z.literal(''),
  files: z.tuple([]),
  leavingHosts: z.array(z.string()).readonly(),
});

/** Encodes a log entry of the configuration group that replaces the names of the leaving hosts. */
export function encodeLeavingHosts(leavingHosts: readonly string[]): string {
  const entry: z.input<typeof recordLeavingHostsSchema> = {
    number: 1,
    digest: '',
    files: [],
    leavingHosts: [...leavingHosts],
  };
  return JSON.stringify(entry);
}

/** Log entries of a program group. `at` is the leader's wall time in milliseconds. */
export const commandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('create-program'),
    at,
    input: createProgramSchema,
    kindInForce: resolvedKindSchema,
  }),
  z.object({
    kind: z.literal('begin-step'),
    at,
    input: beginStepSchema,
    /** Running attempt whose entry has ended, which this attempt supersedes. */
    displaces: id.optional(),
    /** Kind of the program that `input.create` creates. */
    kindInForce: resolvedKindSchema.optional(),
  }),
  z.object({ kind: z.literal('complete-step'), at, input: completeStepSchema }),
  z.object({ kind: z.literal('abandon-step'), at, input: abandonStepSchema }),
  z.object({ kind: z.literal('resolve-step'), at, input: resolveStepSchema }),
  z.object({ kind: z.literal('end-program'), at, input: endProgramSchema }),
  /** Purges ended programs and their answers. */
  z.object({ kind: z.literal('forget-programs'), at, programs: z.array(id).readonly() }),
  z.object({ kind: z.literal('confirm-orders'), at, orders: z.array(id).readonly() }),
]);

export type Command = Readonly<z.output<typeof commandSchema>>;
export type ResolvedKind = Readonly<z.output<typeof resolvedKindSchema>>;
export type CreateProgram = Readonly<z.output<typeof createProgramSchema>>;
export type BeginStep = Readonly<z.output<typeof beginStepSchema>>;
export type CompleteStep = Readonly<z.output<typeof completeStepSchema>>;
export type AbandonStep = Readonly<z.output<typeof abandonStepSchema>>;
export type ResolveStep = Readonly<z.output<typeof resolveStepSchema>>;
export type EndProgram = Readonly<z.output<typeof endProgramSchema>>;
export type AcceptConfiguration = Readonly<z.output<typeof acceptConfigurationSchema>>;

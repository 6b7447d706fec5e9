import * as z from 'zod';
import { membershipSchema, nameOf } from './membership';

const index = z.int().nonnegative();
const term = z.int().nonnegative();
const member = z.string();

/** One entry of the replicated log; `command` is JSON text, empty for entries of the log's own. */
export const logEntrySchema = z.object({
  index,
  term,
  command: z.string(),
  /** Present on an entry that changes the membership. */
  membership: membershipSchema.optional(),
});
export type LogEntry = Readonly<z.output<typeof logEntrySchema>>;

const voteRequest = z.object({
  kind: z.literal('vote-request'),
  /** Asks whether a vote would be granted, without any member changing its term. */
  preVote: z.boolean(),
  term,
  from: member,
  lastIndex: index,
  lastTerm: term,
  /** The leader asked for this election, so that its own lease does not stand against it. */
  transfer: z.boolean(),
});

const voteAnswer = z.object({
  kind: z.literal('vote-answer'),
  preVote: z.boolean(),
  term,
  from: member,
  granted: z.boolean(),
});

const append = z.object({
  kind: z.literal('append'),
  term,
  from: member,
  previousIndex: index,
  /** -1 when the leader no longer knows; no member matches it. */
  previousTerm: z.int().min(-1),
  entries: z.array(logEntrySchema).readonly(),
  commitIndex: index,
  /** The leader's monotonic time of sending, echoed in the answer; milliseconds. */
  sentAt: z.number(),
});

const appendAnswer = z.object({
  kind: z.literal('append-answer'),
  term,
  from: member,
  success: z.boolean(),
  /** On success the last index known equal; on failure the index to try from. */
  matchIndex: index,
  sentAt: z.number(),
});

const campaignNow = z.object({ kind: z.literal('campaign-now'), term, from: member });

/** One part of a snapshot, in order; the peer answers each with the part it needs next. */
const snapshotPart = z.object({
  kind: z.literal('snapshot-part'),
  term,
  from: member,
  /** Position that the snapshot covers, and the membership in force there. */
  lastIndex: index,
  lastTerm: term,
  membership: membershipSchema,
  part: z.int().nonnegative(),
  rows: z.array(z.string()).readonly(),
  final: z.boolean(),
  sentAt: z.number(),
});

const snapshotAnswer = z.object({
  kind: z.literal('snapshot-answer'),
  term,
  from: member,
  lastIndex: index,
  nextPart: z.int().nonnegative(),
  sentAt: z.number(),
});

/** What members of a replicated log say to one another; after the Raft paper (Ongaro, 2014). */
export const raftMessageSchema = z.discriminatedUnion('kind', [
  voteRequest,
  voteAnswer,
  append,
  appendAnswer,
  campaignNow,
  snapshotPart,
  snapshotAnswer,
]);

export type RaftMessage = Readonly<z.output<typeof raftMessageSchema>>;
export type VoteRequest = Readonly<z.output<typeof voteRequest>>;
export type VoteAnswer = Readonly<z.output<typeof voteAnswer>>;
export type AppendRequest = Readonly<z.output<typeof append>>;
export type AppendAnswer = Readonly<z.output<typeof appendAnswer>>;
export type CampaignNow = Readonly<z.output<typeof campaignNow>>;
export type SnapshotPart = Readonly<z.output<typeof snapshotPart>>;
export type SnapshotAnswer = Readonly<z.output<typeof snapshotAnswer>>;

/**
 * Says who a host is while it hears no leader: one that it is no member of takes it in, and hosts
 * that are all new found the log together.
 */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  from: member,
  /** Whether it holds nothing yet, so that it can found a log with others like it. */
  isNew: z.boolean(),
  /** Names of the hosts that its settings list, the one that is to lead first. */
  hosts: z.array(z.string()).readonly(),
});
export type Hello = Readonly<z.output<typeof helloSchema>>;

/** A message to one member, or a greeting to whoever runs on a host. */
export const envelopeSchema = z.object({
  /** Identity of a member; for a greeting the name of a host. */
  to: z.string(),
  message: z.union([raftMessageSchema, helloSchema]),
});
export type Envelope = Readonly<z.output<typeof envelopeSchema>>;

/** An envelope whose message needs no greeting first. */
export interface RaftEnvelope extends Envelope {
  readonly message: RaftMessage;
}

/** Name of the host that an envelope goes to. */
export function hostOf({ to }: Envelope): string {
  return to.includes('/') ? nameOf(to) : to;
}

/** The durable part of a member besides its log. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | undefined;
}

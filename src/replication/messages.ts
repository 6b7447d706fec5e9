import * as z from 'zod';
import { membershipSchema, hostNameOf } from './membership';

const index = z.int().nonnegative();
const term = z.int().nonnegative();
const memberIdentity = z.string();

/** `command` is JSON text, or empty for an entry that the log itself appends. */
export const logEntrySchema = z.object({
  index,
  term,
  command: z.string(),
  /** Membership in effect from this entry on; absent if unchanged. */
  membership: membershipSchema.optional(),
});
export type LogEntry = Readonly<z.output<typeof logEntrySchema>>;

const voteRequest = z.object({
  kind: z.literal('vote-request'),
  /** Asks whether a vote would be granted; no member changes its term. */
  preVote: z.boolean(),
  term,
  from: memberIdentity,
  lastIndex: index,
  lastTerm: term,
  /** Requested by the leader as a leadership transfer, so its lease does not block the vote. */
  transfer: z.boolean(),
});

const voteAnswer = z.object({
  kind: z.literal('vote-answer'),
  preVote: z.boolean(),
  term,
  from: memberIdentity,
  granted: z.boolean(),
});

const appendRequest = z.object({
  kind: z.literal('append'),
  term,
  from: memberIdentity,
  previousIndex: index,
  /** Term at `previousIndex`, or -1 if unknown to the leader; -1 never matches. */
  previousTerm: z.int().min(-1),
  entries: z.array(logEntrySchema).readonly(),
  commitIndex: index,
  /** Send time on the leader's monotonic clock in milliseconds; echoed in the answer. */
  sentAt: z.number(),
});

const appendAnswer = z.object({
  kind: z.literal('append-answer'),
  term,
  from: memberIdentity,
  success: z.boolean(),
  /** On success the last matching index; on failure the index after which to retry. */
  matchIndex: index,
  sentAt: z.number(),
});

const campaignNow = z.object({ kind: z.literal('campaign-now'), term, from: memberIdentity });

/** One part of a snapshot; the receiver answers each part with the number of the next one. */
const snapshotPart = z.object({
  kind: z.literal('snapshot-part'),
  term,
  from: memberIdentity,
  /** Last position that the snapshot covers, and the membership in effect there. */
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
  from: memberIdentity,
  lastIndex: index,
  nextPart: z.int().nonnegative(),
  sentAt: z.number(),
});

/** Messages between members, based on Raft (Ongaro, 2014). */
export const raftMessageSchema = z.discriminatedUnion('kind', [
  voteRequest,
  voteAnswer,
  appendRequest,
  appendAnswer,
  campaignNow,
  snapshotPart,
  snapshotAnswer,
]);

export type RaftMessage = Readonly<z.output<typeof raftMessageSchema>>;
export type VoteRequest = Readonly<z.output<typeof voteRequest>>;
export type VoteAnswer = Readonly<z.output<typeof voteAnswer>>;
export type AppendRequest = Readonly<z.output<typeof appendRequest>>;
export type AppendAnswer = Readonly<z.output<typeof appendAnswer>>;
export type CampaignNow = Readonly<z.output<typeof campaignNow>>;
export type SnapshotPart = Readonly<z.output<typeof snapshotPart>>;
export type SnapshotAnswer = Readonly<z.output<typeof snapshotAnswer>>;

/**
 * Announces a host that has no leader. An existing log adds the host as a member; if all hosts are
 * new, they bootstrap the log together.
 */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  from: memberIdentity,
  /** Whether the host has no entry, snapshot or membership, so that it can bootstrap a log. */
  isNew: z.boolean(),
  /** Names of the hosts in the sender's host list, the preferred leader first. */
  hosts: z.array(z.string()).readonly(),
});
export type Hello = Readonly<z.output<typeof helloSchema>>;

/** A message to one member, or a hello to a host. */
export const envelopeSchema = z.object({
  /** Identity of a member, or the name of a host for a hello. */
  to: z.string(),
  message: z.union([raftMessageSchema, helloSchema]),
});
export type Envelope = Readonly<z.output<typeof envelopeSchema>>;

export interface RaftEnvelope extends Envelope {
  readonly message: RaftMessage;
}

export function destinationHostOf({ to }: Envelope): string {
  return to.includes('/') ? hostNameOf(to) : to;
}

/** The durable state of a member apart from its log. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | undefined;
}

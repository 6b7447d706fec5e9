import * as z from 'zod';

const index = z.int().nonnegative();
const term = z.int().nonnegative();
const member = z.string();

/** One entry of the replicated log; `command` is JSON text, empty for a leader's first entry. */
export const logEntrySchema = z.object({ index, term, command: z.string() });
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
  previousTerm: term,
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

/** What members of a replicated log say to one another; after the Raft paper (Ongaro, 2014). */
export const raftMessageSchema = z.discriminatedUnion('kind', [
  voteRequest,
  voteAnswer,
  append,
  appendAnswer,
  campaignNow,
]);

export type RaftMessage = Readonly<z.output<typeof raftMessageSchema>>;
export type VoteRequest = Readonly<z.output<typeof voteRequest>>;
export type VoteAnswer = Readonly<z.output<typeof voteAnswer>>;
export type AppendRequest = Readonly<z.output<typeof append>>;
export type AppendAnswer = Readonly<z.output<typeof appendAnswer>>;
export type CampaignNow = Readonly<z.output<typeof campaignNow>>;

/** A message on its way to one member. */
export interface Envelope {
  readonly to: string;
  readonly message: RaftMessage;
}

/** The durable part of a member besides its log. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | undefined;
}

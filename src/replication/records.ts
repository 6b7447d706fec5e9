import * as z from 'zod';
import type { RecordStore, StoredRecords } from '../storage';
import { LOG_START, type LogPosition } from './entries';
import { type Membership, NO_MEMBERS, membershipSchema } from './membership';
import { type HardState, type LogEntry, logEntrySchema } from './messages';
import type { RaftOutput } from './outbox';
import type { SnapshotHead } from './member-log';

/** What a member writes to its record store, in the order it happened. */
const recordSchema = z.discriminatedUnion('kind', [
  /** Tells this life of the data folder from others of the same host. */
  z.object({ kind: z.literal('incarnation'), incarnation: z.string() }),
  z.object({ kind: z.literal('founded'), membership: membershipSchema }),
  z.object({ kind: z.literal('hard-state'), term: z.number(), votedFor: z.string().optional() }),
  z.object({ kind: z.literal('truncate'), from: z.number() }),
  z.object({ kind: z.literal('entry'), entry: logEntrySchema }),
]);

type StoredRecord = Readonly<z.output<typeof recordSchema>>;

/** First row of a snapshot; the rows of the state machine follow. */
const headSchema = z.object({
  index: z.number(),
  term: z.number(),
  membership: membershipSchema,
});

/** A member's durable state, as read back after a start. */
export interface StoredMember {
  /** Absent in a folder that was empty. */
  readonly incarnation: string | undefined;
  readonly hardState: HardState;
  readonly base: LogPosition;
  readonly membership: Membership;
  /** Entries behind the base. */
  readonly entries: readonly LogEntry[];
  /** Rows of the state machine at the base. */
  readonly rows: readonly string[];
}

/** Encodes what one output asks to be synced. */
export function encodeOutput(output: RaftOutput): readonly string[] {
  const records: StoredRecord[] = [];
  const { founded, hardState, truncateFrom, entries } = output;
  if (founded !== undefined) records.push({ kind: 'founded', membership: founded });
  if (hardState !== undefined) records.push({ kind: 'hard-state', ...hardState });
  if (truncateFrom !== undefined) records.push({ kind: 'truncate', from: truncateFrom });
  for (const entry of entries) records.push({ kind: 'entry', entry });
  return records.map((record) => JSON.stringify(record));
}

/** Reads a member back; a folder that is empty gets an incarnation first. */
export async function loadMember(
  store: RecordStore,
  createIncarnation: () => string,
): Promise<StoredMember & { readonly incarnation: string }> {
  const stored = decodeStored(await store.load());
  const incarnation = stored.incarnation ?? createIncarnation();
  if (stored.incarnation === undefined) await store.append([encodeIncarnation(incarnation)]);
  return { ...stored, incarnation };
}

/** Encodes the first record of a new folder. */
function encodeIncarnation(incarnation: string): string {
  return JSON.stringify({ kind: 'incarnation', incarnation } satisfies StoredRecord);
}

/** Encodes what has to stand behind a snapshot. */
export function encodeTail(
  incarnation: string,
  hardState: HardState,
  entries: readonly LogEntry[],
): readonly string[] {
  const records: StoredRecord[] = [
    { kind: 'hard-state', ...hardState },
    ...entries.map((entry) => ({ kind: 'entry' as const, entry })),
  ];
  return [encodeIncarnation(incarnation), ...records.map((record) => JSON.stringify(record))];
}

/** Puts the head of a snapshot before the rows of the state machine. */
export function* encodeSnapshot(head: SnapshotHead, rows: Iterable<string>): Generator<string> {
  yield JSON.stringify({ ...head.position, membership: head.membership });
  yield* rows;
}

/**
 * Replays what a store holds. The beginning of a segment may repeat entries, which a snapshot that
 * was not finished left behind; entries after a gap were written ahead of such a snapshot and
 * never acknowledged.
 */
function decodeStored({ snapshot, records }: StoredRecords): StoredMember {
  const [headRow, ...rows] = snapshot ?? [];
  const head = headRow === undefined ? undefined : headSchema.parse(JSON.parse(headRow));
  const base = head === undefined ? LOG_START : { index: head.index, term: head.term };
  const entries: LogEntry[] = [];
  const truncate = (from: number) => {
    entries.length = Math.min(entries.length, Math.max(0, from - base.index - 1));
  };
  let membership = head?.membership ?? NO_MEMBERS;
  let incarnation: string | undefined;
  let hardState: HardState = { term: 0, votedFor: undefined };
  for (const text of records) {
    const record = recordSchema.parse(JSON.parse(text));
    switch (record.kind) {
      case 'incarnation':
        incarnation = record.incarnation;
        break;
      case 'founded':
        if (head === undefined) membership = record.membership;
        break;
      case 'hard-state':
        hardState = { term: record.term, votedFor: record.votedFor };
        break;
      case 'truncate':
        truncate(record.from);
        break;
      case 'entry': {
        const { index } = record.entry;
        const last = base.index + entries.length;
        if (index <= base.index || index > last + 1) break;
        truncate(index);
        entries.push(record.entry);
      }
    }
  }
  return { incarnation, hardState, base, membership, entries, rows };
}

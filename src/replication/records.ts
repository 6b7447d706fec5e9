import * as z from 'zod';
import type { RecordStore, StoredRecords } from '../storage';
import { LOG_START, type LogPosition } from './entry-list';
import { type Membership, NO_MEMBERS, membershipSchema } from './membership';
import { type HardState, type LogEntry, logEntrySchema } from './messages';
import type { RaftOutput } from './outbox';
import type { SnapshotMetadata } from './raft-log';

/** Records of a member in its record store, in the order of the changes. */
const recordSchema = z.discriminatedUnion('kind', [
  /** Distinguishes this data folder from earlier ones of the same host. */
  z.object({ kind: z.literal('incarnation'), incarnation: z.string() }),
  z.object({ kind: z.literal('founded'), membership: membershipSchema }),
  z.object({ kind: z.literal('hard-state'), term: z.number(), votedFor: z.string().optional() }),
  z.object({ kind: z.literal('truncate'), from: z.number() }),
  z.object({ kind: z.literal('entry'), entry: logEntrySchema }),
]);

type StoredRecord = Readonly<z.output<typeof recordSchema>>;

/** First row of a snapshot; the state machine's rows follow. */
const snapshotMetadataSchema = z.object({
  index: z.number(),
  term: z.number(),
  membership: membershipSchema,
});

/** A member's durable state as read at start. */
export interface StoredMember {
  /** Undefined if the store was empty. */
  readonly incarnation: string | undefined;
  readonly hardState: HardState;
  readonly base: LogPosition;
  readonly membership: Membership;
  /** Entries after the base. */
  readonly entries: readonly LogEntry[];
  /** The state machine's rows at the base. */
  readonly rows: readonly string[];
}

export function encodeOutput(output: RaftOutput): readonly string[] {
  const records: StoredRecord[] = [];
  const { initialMembership, hardState, truncateFrom, entries } = output;
  if (initialMembership !== undefined)
    records.push({ kind: 'founded', membership: initialMembership });
  if (hardState !== undefined) records.push({ kind: 'hard-state', ...hardState });
  if (truncateFrom !== undefined) records.push({ kind: 'truncate', from: truncateFrom });
  for (const entry of entries) records.push({ kind: 'entry', entry });
  return records.map((record) => JSON.stringify(record));
}

/** Reads a member from its store; an empty store first gets an incarnation record. */
export async function loadMember(
  store: RecordStore,
  createIncarnation: () => string,
): Promise<StoredMember & { readonly incarnation: string }> {
  const stored = replayRecords(await store.load());
  const incarnation = stored.incarnation ?? createIncarnation();
  if (stored.incarnation === undefined) await store.append([encodeIncarnation(incarnation)]);
  return { ...stored, incarnation };
}

function encodeIncarnation(incarnation: string): string {
  return JSON.stringify({ kind: 'incarnation', incarnation } satisfies StoredRecord);
}

/** Encodes the records to store with a snapshot: incarnation, hard state and the entries after it. */
export function encodeRecordsAfterSnapshot(
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

/** Yields the metadata of a snapshot, then the state machine's rows. */
export function* encodeSnapshot(
  metadata: SnapshotMetadata,
  rows: Iterable<string>,
): Generator<string> {
  yield JSON.stringify({ ...metadata.position, membership: metadata.membership });
  yield* rows;
}

/**
 * Replays the contents of a store. An interrupted snapshot can leave entries at the start of a
 * segment that repeat earlier ones, and entries after a gap that were never acknowledged; the latter
 * are dropped.
 */
function replayRecords({ snapshot, records }: StoredRecords): StoredMember {
  const [metadataRow, ...rows] = snapshot ?? [];
  const metadata =
    metadataRow === undefined ? undefined : snapshotMetadataSchema.parse(JSON.parse(metadataRow));
  const base = metadata === undefined ? LOG_START : { index: metadata.index, term: metadata.term };
  const entries: LogEntry[] = [];
  const truncate = (from: number) => {
    entries.length = Math.min(entries.length, Math.max(0, from - base.index - 1));
  };
  let membership = metadata?.membership ?? NO_MEMBERS;
  let incarnation: string | undefined;
  let hardState: HardState = { term: 0, votedFor: undefined };
  for (const text of records) {
    const record = recordSchema.parse(JSON.parse(text));
    switch (record.kind) {
      case 'incarnation':
        incarnation = record.incarnation;
        break;
      case 'founded':
        if (metadata === undefined) membership = record.membership;
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

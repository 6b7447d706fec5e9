import * as z from 'zod';
import { type HardState, type LogEntry, logEntrySchema } from './messages';
import type { RaftOutput } from './outbox';

/** What a member writes to its record store, in the order it happened. */
const recordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('hard-state'), term: z.number(), votedFor: z.string().optional() }),
  z.object({ kind: z.literal('truncate'), from: z.number() }),
  z.object({ kind: z.literal('entry'), entry: logEntrySchema }),
]);

type StoredRecord = Readonly<z.output<typeof recordSchema>>;

/** A member's durable state, as read back after a start. */
export interface StoredMember {
  readonly hardState: HardState;
  readonly entries: readonly LogEntry[];
}

/** Encodes what one output asks to be synced. */
export function encodeRecords(output: RaftOutput): readonly Buffer[] {
  const records: StoredRecord[] = [];
  const { hardState, truncateFrom, entries } = output;
  if (hardState !== undefined) records.push({ kind: 'hard-state', ...hardState });
  if (truncateFrom !== undefined) records.push({ kind: 'truncate', from: truncateFrom });
  for (const entry of entries) records.push({ kind: 'entry', entry });
  return records.map((record) => Buffer.from(JSON.stringify(record)));
}

/** Replays the records of a store. */
export function decodeRecords(buffers: readonly Buffer[]): StoredMember {
  let hardState: HardState = { term: 0, votedFor: undefined };
  const entries: LogEntry[] = [];
  for (const buffer of buffers) {
    const record = recordSchema.parse(JSON.parse(buffer.toString()));
    if (record.kind === 'hard-state') hardState = { term: record.term, votedFor: record.votedFor };
    else if (record.kind === 'truncate') entries.length = record.from - 1;
    else entries.push(record.entry);
  }
  return { hardState, entries };
}

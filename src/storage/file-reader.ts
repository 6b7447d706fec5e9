import * as z from 'zod';
import { StorageError } from './errors';
import type { FileSystem } from './file-system';
import {
  FILE_HEADER,
  FRAME_HEADER_BYTES,
  type FramesEnd,
  MAX_FRAME_BYTES,
  decodeFrames,
  decodeSingleFrame,
  frameSizeOf,
} from './frame';
import type { RecordConsumer } from './record-store';

export const REPAIR_INSTRUCTIONS =
  'move the folder away and restart: the member copies its records from its peers, if it has any';

/** First record of a snapshot file; the segments from `firstSegment` on follow the snapshot. */
const snapshotHeaderSchema = z.object({ firstSegment: z.int().positive() });

/**
 * Reads a snapshot frame by frame, so that it is never in memory as a whole; resolves with the
 * number of the first segment that follows it.
 */
export async function readSnapshot(
  files: FileSystem,
  file: string,
  consumer: RecordConsumer,
): Promise<number> {
  checkFormat(file, await files.readAt(file, 0, FILE_HEADER.length));
  let offset = FILE_HEADER.length;
  let firstSegment: number | undefined;
  for (;;) {
    const header = await files.readAt(file, offset, FRAME_HEADER_BYTES);
    if (header.length === 0 && firstSegment !== undefined) return firstSegment;
    const size = frameSizeOf(header);
    const bytes = await readFrame(files, file, offset, size);
    const records = bytes === undefined ? undefined : decodeSingleFrame(bytes);
    if (bytes === undefined || records === undefined) throw damagedFileError(file, offset);
    const rows = firstSegment === undefined ? records.slice(1) : records;
    firstSegment ??= snapshotHeaderSchema.parse(JSON.parse(records[0] ?? '')).firstSegment;
    for (const row of rows) consumer.takeSnapshotRow(row);
    offset += bytes.length;
  }
}

/** Undefined if the size is that of no frame or reaches beyond the end of the file. */
async function readFrame(
  files: FileSystem,
  file: string,
  offset: number,
  size: number | undefined,
): Promise<Buffer | undefined> {
  if (size === undefined || size > MAX_FRAME_BYTES) return undefined;
  const bytes = await files.readAt(file, offset, size);
  return bytes.length === size ? bytes : undefined;
}

export class CollectedRecords implements RecordConsumer {
  readonly rows: string[] = [];
  readonly records: string[] = [];

  reset(): void {
    this.rows.length = 0;
    this.records.length = 0;
  }

  takeSnapshotRow(row: string): void {
    this.rows.push(row);
  }

  takeRecord(record: string): void {
    this.records.push(record);
  }
}

/** Passes the records of all intact frames on; returns where they end. */
export function takeFrames(bytes: Buffer, consumer: RecordConsumer): FramesEnd {
  const frames = decodeFrames(bytes);
  for (;;) {
    const next = frames.next();
    if (next.done === true) return next.value;
    for (const record of next.value) consumer.takeRecord(record);
  }
}

export function checkFormat(file: string, bytes: Buffer): void {
  if (bytes.subarray(0, FILE_HEADER.length).equals(FILE_HEADER)) return;
  const message =
    'not a log file of format 2; run the version that wrote it or move the folder away';
  throw StorageError.at(file, 'unknown_format', message);
}

export function damagedFileError(file: string, offset: number): StorageError {
  return StorageError.at(file, 'damaged', `damaged at byte ${offset}; ${REPAIR_INSTRUCTIONS}`);
}

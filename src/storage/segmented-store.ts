import { join } from 'node:path';
import * as z from 'zod';
import { messageOf } from '../core';
import { StorageError } from './errors';
import { type AppendFile, type FileSystem, NodeFileSystem } from './file-system';
import { FILE_MARK, decodeFile, encodeFrame } from './frame';
import type { Compaction, RecordStore, StoredRecords } from './record-store';

export interface SegmentedStoreOptions {
  readonly folder: string;
  readonly fileSystem?: FileSystem;
  /** Size from which a segment is closed and the next one begun; bytes. */
  readonly segmentBytes?: number;
  /** Told of a last frame that was cut off, since a crash kept it from being synced. */
  readonly onTornTail?: (file: string, bytes: number) => void;
}

const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

/** Rows of one frame of a snapshot. */
const SNAPSHOT_FRAME_ROWS = 1024;

const SNAPSHOT = 'snapshot';
const UNFINISHED_SNAPSHOT = 'snapshot.unfinished';

/** Stands in a folder whose records are whole but of no use, since what they refer to is not. */
const DAMAGE_MARK = 'damaged';
const SEGMENT_NAME = /^segment-(\d{10})$/;

/** First row of a snapshot file. */
const snapshotHeaderSchema = z.object({ firstSegment: z.int().positive() });

const MEND =
  'move the folder away and restart: the member is filled again from its peers, if it has any';

interface Asker {
  readonly resolve: () => void;
  readonly reject: (error: StorageError) => void;
}

/** Work on the files, carried out in the order it was asked for. */
type Work = Asker &
  (
    | { readonly kind: 'append'; readonly records: readonly string[] }
    | { readonly kind: 'task'; readonly run: () => Promise<void> }
  );

/**
 * Records in numbered segments of one folder, behind a snapshot. Appends that arrive during a sync
 * share the next one and its frame. A torn last frame is cut off, since it was never acknowledged;
 * damage before it is refused. After a failed write the store refuses everything: the state of its
 * files is not known.
 */
export class SegmentedStore implements RecordStore {
  readonly #folder: string;
  readonly #files: FileSystem;
  readonly #segmentBytes: number;
  readonly #onTornTail: (file: string, bytes: number) => void;
  #segment = 0;
  #segmentSize = 0;
  #file: AppendFile | undefined;
  #queue: Work[] = [];
  #working: Promise<void> | undefined;
  #background: Promise<void> = Promise.resolve();
  #failure: StorageError | undefined;

  constructor(options: SegmentedStoreOptions) {
    this.#folder = options.folder;
    this.#files = options.fileSystem ?? new NodeFileSystem();
    this.#segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.#onTornTail = options.onTornTail ?? (() => undefined);
  }

  async load(): Promise<StoredRecords> {
    try {
      await this.#files.ensureFolder(this.#folder);
      await this.#files.remove(this.#path(UNFINISHED_SNAPSHOT));
      const names = await this.#files.list(this.#folder);
      if (names.includes(DAMAGE_MARK)) {
        const message = `was found to be damaged before; ${MEND}`;
        throw StorageError.at(this.#path(DAMAGE_MARK), 'damaged', message);
      }
      const snapshot = names.includes(SNAPSHOT) ? await this.#readSnapshot() : undefined;
      const records = await this.#readSegments(names, snapshot?.firstSegment ?? 1);
      return { snapshot: snapshot?.rows, records };
    } catch (error) {
      await this.close();
      if (error instanceof StorageError) throw error;
      const message = `can't be opened; check the folder, its permissions and space: ${messageOf(error)}`;
      throw StorageError.at(this.#folder, 'unopenable', message, error);
    }
  }

  append(records: readonly string[]): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#enqueue({ kind: 'append', records, resolve, reject });
    });
  }

  async compact(compaction: Compaction): Promise<void> {
    let replaced: Promise<void> = Promise.resolve();
    await this.#schedule(async () => {
      await this.#beginSegment(this.#segment + 1);
      if (compaction.records.length > 0) await this.#writeFrame(compaction.records);
      const firstSegment = this.#segment;
      replaced = this.#background.then(() => this.#replace(compaction.snapshot, firstSegment));
      this.#background = replaced.catch(() => undefined);
      if (compaction.exclusive) await replaced;
    });
    await replaced.catch((error: unknown) => {
      throw this.#fail(error);
    });
  }

  async close(): Promise<void> {
    await this.#working;
    await this.#background;
    await this.#file?.close();
    this.#file = undefined;
  }

  #path(name: string): string {
    return join(this.#folder, name);
  }

  async #readSnapshot(): Promise<{ readonly firstSegment: number; readonly rows: string[] }> {
    const file = this.#path(SNAPSHOT);
    const bytes = await this.#files.read(file);
    checkFormat(file, bytes);
    const { records, end } = decodeFile(bytes);
    const [header, ...rows] = records;
    if (end < bytes.length || header === undefined) throw damagedAt(file, end);
    return { ...snapshotHeaderSchema.parse(JSON.parse(header)), rows };
  }

  /** Reads the segments from `first` on; what is older, a crash kept from being removed. */
  async #readSegments(names: readonly string[], first: number): Promise<readonly string[]> {
    const numbers = names
      .flatMap((name) => SEGMENT_NAME.exec(name)?.[1] ?? [])
      .map(Number)
      .sort((left, right) => left - right);
    for (const number of numbers.filter((entry) => entry < first)) {
      await this.#files.remove(this.#path(segmentName(number)));
    }
    const needed = numbers.filter((entry) => entry >= first);
    needed.forEach((number, index) => {
      if (number === first + index) return;
      const file = this.#path(segmentName(first + index));
      throw StorageError.at(file, 'damaged', `is missing; ${MEND}`);
    });
    if (needed.length === 0) {
      await this.#beginSegment(first);
      return [];
    }
    const records: string[] = [];
    for (const number of needed) {
      const last = number === needed.at(-1);
      for (const record of await this.#readSegment(number, last)) records.push(record);
    }
    return records;
  }

  async #readSegment(number: number, last: boolean): Promise<readonly string[]> {
    const file = this.#path(segmentName(number));
    const bytes = await this.#files.read(file);
    if (last && bytes.length < FILE_MARK.length) {
      await this.#beginSegment(number);
      return [];
    }
    checkFormat(file, bytes);
    const { records, end, damagedAt: damage } = decodeFile(bytes);
    if (damage !== undefined || (!last && end < bytes.length)) throw damagedAt(file, end);
    if (last) {
      if (end < bytes.length) this.#onTornTail(file, bytes.length - end);
      this.#file = await this.#files.openAt(file, end);
      this.#segment = number;
      this.#segmentSize = end;
    }
    return records;
  }

  /** Closes the present segment, whose frames are all synced, and begins another. */
  async #beginSegment(number: number): Promise<void> {
    const previous = this.#file;
    const file = await this.#files.createSynchronous(this.#path(segmentName(number)));
    this.#file = file;
    this.#segment = number;
    this.#segmentSize = FILE_MARK.length;
    await file.append(FILE_MARK);
    await file.sync();
    await this.#files.syncFolder(this.#folder);
    await previous?.close();
  }

  /** Puts a snapshot in place at once or not at all, then removes what it makes needless. */
  async #replace(rows: Iterable<string>, firstSegment: number): Promise<void> {
    const unfinished = this.#path(UNFINISHED_SNAPSHOT);
    const file = await this.#files.create(unfinished);
    await file.append(FILE_MARK);
    for (const part of inParts([JSON.stringify({ firstSegment })], rows)) {
      await file.append(encodeFrame(part));
    }
    await file.sync();
    await file.close();
    await this.#files.rename(unfinished, this.#path(SNAPSHOT));
    await this.#files.syncFolder(this.#folder);
    for (const name of await this.#files.list(this.#folder)) {
      const number = Number(SEGMENT_NAME.exec(name)?.[1] ?? Infinity);
      if (number < firstSegment) await this.#files.remove(this.#path(name));
    }
  }

  #schedule(run: () => Promise<void>): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#enqueue({ kind: 'task', run, resolve, reject });
    });
  }

  #enqueue(work: Work): void {
    this.#queue.push(work);
    this.#working ??= this.#work();
  }

  async #work(): Promise<void> {
    for (;;) {
      const batch = this.#takeAppends();
      if (batch.length > 0) {
        const records = batch.flatMap((append) => append.records);
        await this.#carryOut(batch, () => this.#writeFrame(records));
      }
      const next = this.#queue[0];
      if (next === undefined) break;
      if (next.kind === 'append') continue;
      this.#queue.shift();
      await this.#carryOut([next], next.run);
    }
    this.#working = undefined;
  }

  /** Takes the appends at the head of the queue, which share one frame and one sync. */
  #takeAppends(): readonly Extract<Work, { kind: 'append' }>[] {
    const batch: Extract<Work, { kind: 'append' }>[] = [];
    for (let next = this.#queue[0]; next?.kind === 'append'; next = this.#queue[0]) {
      batch.push(next);
      this.#queue.shift();
    }
    return batch;
  }

  async #carryOut(askers: readonly Asker[], run: () => Promise<void>): Promise<void> {
    try {
      if (this.#failure !== undefined) throw this.#failure;
      await run();
      for (const asker of askers) asker.resolve();
    } catch (error) {
      const failure = this.#fail(error);
      for (const asker of askers) asker.reject(failure);
    }
  }

  async #writeFrame(records: readonly string[]): Promise<void> {
    if (this.#file === undefined) {
      throw StorageError.at(this.#folder, 'not_open', 'the log is not open');
    }
    if (this.#segmentSize > this.#segmentBytes) await this.#beginSegment(this.#segment + 1);
    const frame = encodeFrame(records);
    await this.#file.append(frame);
    await this.#file.sync();
    this.#segmentSize += frame.length;
  }

  #fail(error: unknown): StorageError {
    this.#failure ??= error instanceof StorageError ? error : this.#unwritable(error);
    return this.#failure;
  }

  #unwritable(error: unknown): StorageError {
    const message = `can't be written; free space or mend the disk, then restart: ${messageOf(error)}`;
    return StorageError.at(this.#folder, 'unwritable', message, error);
  }
}

/** Marks a store's folder as damaged, so that the next load refuses it. */
export async function markDamaged(
  folder: string,
  fileSystem: FileSystem = new NodeFileSystem(),
): Promise<void> {
  const file = await fileSystem.create(join(folder, DAMAGE_MARK));
  await file.sync();
  await file.close();
  await fileSystem.syncFolder(folder);
}

function segmentName(number: number): string {
  return `segment-${String(number).padStart(10, '0')}`;
}

function checkFormat(file: string, bytes: Buffer): void {
  if (bytes.subarray(0, FILE_MARK.length).equals(FILE_MARK)) return;
  const message = 'not of format 2; run the version that wrote it or move the folder away';
  throw StorageError.at(file, 'unknown_format', message);
}

function damagedAt(file: string, offset: number): StorageError {
  return StorageError.at(file, 'damaged', `damaged at byte ${offset}; ${MEND}`);
}

/** Cuts rows into parts of bounded length, so that a large snapshot is encoded piece by piece. */
function* inParts(first: readonly string[], rows: Iterable<string>): Generator<readonly string[]> {
  let part = [...first];
  for (const row of rows) {
    part.push(row);
    if (part.length < SNAPSHOT_FRAME_ROWS) continue;
    yield part;
    part = [];
  }
  if (part.length > 0) yield part;
}

import { join } from 'node:path';
import { messageOf } from '../core';
import { StorageError } from './errors';
import { type AppendFile, type FileSystem, NodeFileSystem } from './file-system';
import {
  CollectedRecords,
  REPAIR_INSTRUCTIONS,
  checkFormat,
  damagedFileError,
  readSnapshot,
  takeFrames,
} from './file-reader';
import { FILE_HEADER, encodeFrame } from './frame';
import type { Compaction, RecordConsumer, RecordStore, StoredRecords } from './record-store';

export interface SegmentedStoreOptions {
  readonly folder: string;
  readonly fileSystem?: FileSystem;
  /** Segment size in bytes above which the next write starts a new segment. */
  readonly segmentBytes?: number;
  /** Called by {@link SegmentedStore.load} with the size of an incomplete last frame, which it removes. */
  readonly onTornTail?: (file: string, bytes: number) => void;
}

const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

const ROWS_PER_SNAPSHOT_FRAME = 1024;

const SNAPSHOT_FILE = 'snapshot';
const UNFINISHED_SNAPSHOT_FILE = 'snapshot.unfinished';

/** Marker file: the records are intact, but content that they refer to is damaged. */
const DAMAGE_MARKER_FILE = 'damaged';
const SEGMENT_NAME = /^segment-(\d{10})$/;

interface Completion {
  readonly resolve: () => void;
  readonly reject: (error: StorageError) => void;
}

/** A queued operation on the files; operations run in the order of the calls. */
type Operation = Completion &
  (
    | { readonly kind: 'append'; readonly records: readonly string[] }
    | { readonly kind: 'task'; readonly run: () => Promise<void> }
  );

/**
 * A snapshot and numbered log segments in one folder. Appends that arrive during a sync are written
 * in one frame with one sync (group commit). On load, an incomplete last frame is truncated, as it
 * was never acknowledged; any earlier damage is an error. After a failed write, the state of the
 * files is unknown and all later operations are rejected.
 */
export class SegmentedStore implements RecordStore {
  readonly #folder: string;
  readonly #files: FileSystem;
  readonly #segmentBytes: number;
  readonly #onTornTail: (file: string, bytes: number) => void;
  #segment = 0;
  #segmentSize = 0;
  #file: AppendFile | undefined;
  #queue: Operation[] = [];
  #activeDrain: Promise<void> | undefined;
  #pendingSnapshot: Promise<void> = Promise.resolve();
  #failure: StorageError | undefined;

  constructor(options: SegmentedStoreOptions) {
    this.#folder = options.folder;
    this.#files = options.fileSystem ?? new NodeFileSystem();
    this.#segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.#onTornTail = options.onTornTail ?? (() => undefined);
  }

  async load(consumer?: RecordConsumer): Promise<StoredRecords> {
    const collected = new CollectedRecords();
    const target = consumer ?? collected;
    try {
      await this.#files.ensureFolder(this.#folder);
      await this.#files.remove(this.#path(UNFINISHED_SNAPSHOT_FILE));
      const names = await this.#files.list(this.#folder);
      if (names.includes(DAMAGE_MARKER_FILE)) {
        const message = `damage was found by an earlier run; ${REPAIR_INSTRUCTIONS}`;
        throw StorageError.at(this.#path(DAMAGE_MARKER_FILE), 'damaged', message);
      }
      const hasSnapshot = names.includes(SNAPSHOT_FILE);
      const firstSegment = hasSnapshot
        ? await readSnapshot(this.#files, this.#path(SNAPSHOT_FILE), target)
        : 1;
      await this.#readSegments(names, firstSegment, target);
      return { snapshot: hasSnapshot ? collected.rows : undefined, records: collected.records };
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
      this.#requireOpen();
      await this.#beginSegment(this.#segment + 1);
      if (compaction.records.length > 0) await this.#writeFrame(compaction.records);
      const firstSegment = this.#segment;
      replaced = this.#pendingSnapshot.then(() =>
        this.#replaceSnapshot(compaction.snapshot, firstSegment),
      );
      this.#pendingSnapshot = replaced.catch(() => undefined);
      if (compaction.exclusive) await replaced;
    });
    await replaced.catch((error: unknown) => {
      throw this.#recordFailure(error);
    });
  }

  async close(): Promise<void> {
    await this.#activeDrain;
    await this.#pendingSnapshot;
    await this.#file?.close();
    this.#file = undefined;
  }

  #path(name: string): string {
    return join(this.#folder, name);
  }

  /** Reads the segments from `first` on; removes older ones that a crash left behind. */
  async #readSegments(
    names: readonly string[],
    first: number,
    consumer: RecordConsumer,
  ): Promise<void> {
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
      throw StorageError.at(file, 'damaged', `is missing; ${REPAIR_INSTRUCTIONS}`);
    });
    if (needed.length === 0) await this.#beginSegment(first);
    for (const number of needed) {
      await this.#readSegment(number, number === needed.at(-1), consumer);
    }
  }

  async #readSegment(number: number, last: boolean, consumer: RecordConsumer): Promise<void> {
    const file = this.#path(segmentName(number));
    const bytes = await this.#files.read(file);
    if (last && bytes.length < FILE_HEADER.length) {
      await this.#beginSegment(number);
      return;
    }
    checkFormat(file, bytes);
    const { end, damagedOffset } = takeFrames(bytes, consumer);
    if (damagedOffset !== undefined || (!last && end < bytes.length))
      throw damagedFileError(file, end);
    if (last) {
      if (end < bytes.length) this.#onTornTail(file, bytes.length - end);
      this.#file = await this.#files.openForAppend(file, end);
      this.#segment = number;
      this.#segmentSize = end;
    }
  }

  /** Closes the current segment, whose frames are all synced, and creates another. */
  async #beginSegment(number: number): Promise<void> {
    const previous = this.#file;
    const file = await this.#files.createSynchronous(this.#path(segmentName(number)));
    this.#file = file;
    this.#segment = number;
    this.#segmentSize = FILE_HEADER.length;
    await file.append(FILE_HEADER);
    await file.sync();
    await this.#files.syncFolder(this.#folder);
    await previous?.close();
  }

  /** Replaces the snapshot atomically, then removes the segments before `firstSegment`. */
  async #replaceSnapshot(rows: Iterable<string>, firstSegment: number): Promise<void> {
    const unfinished = this.#path(UNFINISHED_SNAPSHOT_FILE);
    const file = await this.#files.create(unfinished);
    await file.append(FILE_HEADER);
    for (const part of groupByFrame([JSON.stringify({ firstSegment })], rows)) {
      await file.append(encodeFrame(part));
    }
    await file.sync();
    await file.close();
    await this.#files.rename(unfinished, this.#path(SNAPSHOT_FILE));
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

  #enqueue(operation: Operation): void {
    this.#queue.push(operation);
    this.#activeDrain ??= this.#drainQueue();
  }

  async #drainQueue(): Promise<void> {
    for (;;) {
      const batch = this.#dequeueAppends();
      if (batch.length > 0) {
        await this.#execute(batch, () => this.#writeFrame(batch.flatMap(({ records }) => records)));
      }
      const next = this.#queue[0];
      if (next === undefined) break;
      if (next.kind === 'append') continue;
      this.#queue.shift();
      await this.#execute([next], next.run);
    }
    this.#activeDrain = undefined;
  }

  /** Removes the appends at the head of the queue, to be written in one frame. */
  #dequeueAppends(): readonly Extract<Operation, { kind: 'append' }>[] {
    const batch: Extract<Operation, { kind: 'append' }>[] = [];
    for (let next = this.#queue[0]; next?.kind === 'append'; next = this.#queue[0]) {
      batch.push(next);
      this.#queue.shift();
    }
    return batch;
  }

  async #execute(completions: readonly Completion[], run: () => Promise<void>): Promise<void> {
    try {
      if (this.#failure !== undefined) throw this.#failure;
      await run();
      for (const completion of completions) completion.resolve();
    } catch (error) {
      const failure = this.#recordFailure(error);
      for (const completion of completions) completion.reject(failure);
    }
  }

  #requireOpen(): AppendFile {
    if (this.#file !== undefined) return this.#file;
    throw StorageError.at(this.#folder, 'not_open', 'the store is closed or was not loaded');
  }

  async #writeFrame(records: readonly string[]): Promise<void> {
    this.#requireOpen();
    if (this.#segmentSize > this.#segmentBytes) await this.#beginSegment(this.#segment + 1);
    const frame = encodeFrame(records);
    const file = this.#requireOpen();
    await file.append(frame);
    await file.sync();
    this.#segmentSize += frame.length;
  }

  #recordFailure(error: unknown): StorageError {
    this.#failure ??= error instanceof StorageError ? error : this.#createWriteError(error);
    return this.#failure;
  }

  #createWriteError(error: unknown): StorageError {
    const message = `can't be written; free disk space or repair the disk, then restart: ${messageOf(error)}`;
    return StorageError.at(this.#folder, 'unwritable', message, error);
  }
}

/** Marks a store's folder as damaged, so that the next {@link SegmentedStore.load} rejects. */
export async function markDamaged(
  folder: string,
  fileSystem: FileSystem = new NodeFileSystem(),
): Promise<void> {
  const file = await fileSystem.create(join(folder, DAMAGE_MARKER_FILE));
  await file.sync();
  await file.close();
  await fileSystem.syncFolder(folder);
}

function segmentName(number: number): string {
  return `segment-${String(number).padStart(10, '0')}`;
}

/** Groups rows by frame, so that a large snapshot is never encoded as a whole. */
function* groupByFrame(
  first: readonly string[],
  rows: Iterable<string>,
): Generator<readonly string[]> {
  let part = [...first];
  for (const row of rows) {
    part.push(row);
    if (part.length < ROWS_PER_SNAPSHOT_FRAME) continue;
    yield part;
    part = [];
  }
  if (part.length > 0) yield part;
}

import { type FileHandle, mkdir, open } from 'node:fs/promises';
import { dirname } from 'node:path';
import { messageOf } from '../core';
import { StorageError } from './errors';
import { decodeFrame, encodeFrame } from './frame';

/** First bytes of every file: a mark and the format version. */
const FILE_MARK = Buffer.from('MARTLOG\u0001', 'latin1');

/** An ordered, durable list of records. */
export interface RecordStore {
  /** Reads every record; called once, before the first append. */
  load(): Promise<readonly Buffer[]>;
  /** Resolves once the records are synced, in the order of the calls. */
  append(records: readonly Buffer[]): Promise<void>;
  close(): Promise<void>;
}

interface PendingAppend {
  readonly bytes: Buffer;
  readonly resolve: () => void;
  readonly reject: (error: StorageError) => void;
}

/**
 * Records in one append-only file. Appends that arrive during a sync share the next one. A torn
 * last frame is cut off; damage before the end is refused, since what follows was acknowledged.
 * After a failed write the store refuses further appends: the state of the file is not known.
 */
export class FileRecordStore implements RecordStore {
  readonly #file: string;
  #handle: FileHandle | undefined;
  #pending: PendingAppend[] = [];
  #writing: Promise<void> | undefined;
  #failure: StorageError | undefined;

  constructor(file: string) {
    this.#file = file;
  }

  async load(): Promise<readonly Buffer[]> {
    try {
      await mkdir(dirname(this.#file), { recursive: true });
      this.#handle = await open(this.#file, 'a+');
      const bytes = await this.#handle.readFile();
      if (bytes.length < FILE_MARK.length) return await this.#begin();
      return await this.#read(bytes);
    } catch (error) {
      await this.close();
      if (error instanceof StorageError) throw error;
      const message = `can't be opened; check the folder, its permissions and space: ${messageOf(error)}`;
      throw StorageError.at(this.#file, 'unopenable', message, error);
    }
  }

  append(records: readonly Buffer[]): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ bytes: Buffer.concat(records.map(encodeFrame)), resolve, reject });
      this.#writing ??= this.#write();
    });
  }

  async close(): Promise<void> {
    await this.#writing;
    await this.#handle?.close();
    this.#handle = undefined;
  }

  /** Writes the mark to a new file and syncs the folder that names it. */
  async #begin(): Promise<readonly Buffer[]> {
    const handle = this.#opened();
    await handle.truncate(0);
    await handle.write(FILE_MARK);
    await handle.sync();
    const folder = await open(dirname(this.#file), 'r');
    await folder.sync();
    await folder.close();
    return [];
  }

  async #read(bytes: Buffer): Promise<readonly Buffer[]> {
    if (!bytes.subarray(0, FILE_MARK.length).equals(FILE_MARK)) {
      const message = 'not a log of format 1; run the version that wrote it or move the file away';
      throw StorageError.at(this.#file, 'unknown_format', message);
    }
    const records: Buffer[] = [];
    let offset = FILE_MARK.length;
    while (offset < bytes.length) {
      const reading = decodeFrame(bytes, offset);
      if (reading.kind === 'damaged') {
        const message = `damaged at byte ${offset}; move the file away and restart: the member is filled again from its peers`;
        throw StorageError.at(this.#file, 'damaged', message);
      }
      if (reading.kind === 'torn') {
        await this.#opened().truncate(offset);
        await this.#opened().sync();
        break;
      }
      records.push(reading.payload);
      offset = reading.end;
    }
    return records;
  }

  async #write(): Promise<void> {
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      try {
        if (this.#failure !== undefined) throw this.#failure;
        await this.#writeWhole(Buffer.concat(batch.map((entry) => entry.bytes)));
        await this.#opened().datasync();
        for (const entry of batch) entry.resolve();
      } catch (error) {
        const failure = this.#fail(error);
        for (const entry of batch) entry.reject(failure);
      }
    }
    this.#writing = undefined;
  }

  async #writeWhole(bytes: Buffer): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const result = await this.#opened().write(bytes, written);
      written += result.bytesWritten;
    }
  }

  #fail(error: unknown): StorageError {
    this.#failure ??=
      error instanceof StorageError
        ? error
        : StorageError.at(
            this.#file,
            'unwritable',
            `can't be written; free space or mend the disk, then restart: ${messageOf(error)}`,
            error,
          );
    return this.#failure;
  }

  #opened(): FileHandle {
    if (this.#handle !== undefined) return this.#handle;
    throw StorageError.at(this.#file, 'not_open', 'the log is not open');
  }
}

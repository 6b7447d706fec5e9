import { join } from 'node:path';
import * as z from 'zod';
import { messageOf } from '../core';
import { StorageError } from './errors';
import { type AppendFile, type FileSystem, NodeFileSystem } from './file-system';
import { FILE_HEADER, decodeSingleFrame, encodeFrame } from './frame';

/** Location of a text on this host's disk; offset and length in bytes. */
export const contentLocationSchema = z.object({
  file: z.int().positive(),
  offset: z.int().nonnegative(),
  length: z.int().positive(),
});
export type ContentLocation = Readonly<z.output<typeof contentLocationSchema>>;

export interface ContentStoreOptions {
  readonly folder: string;
  readonly fileSystem?: FileSystem;
  /** File size in bytes at which the next write starts a new file. */
  readonly fileBytes?: number;
  /** Size of the in-memory cache of recently used texts, in characters. */
  readonly cacheCharacters?: number;
  /** Called on the first write that fails. */
  readonly onFailure?: (error: StorageError) => void;
  /** Called when a stored text can't be read; its copy on this host is lost. */
  readonly onDamage?: (error: StorageError) => void;
}

const DEFAULT_FILE_BYTES = 64 * 1024 * 1024;
const DEFAULT_CACHE_CHARACTERS = 32 * 1024 * 1024;
const FILE_NAME = /^contents-(\d{10})$/;

interface PendingWrite {
  readonly handle: number;
  readonly text: string;
}

/**
 * Stores large, rarely read texts on disk, by handle. Writes happen in the background: until a
 * snapshot, the log still holds each text. Callers must {@link flush} before they write a snapshot
 * that refers to the texts.
 */
export class ContentStore {
  readonly #folder: string;
  readonly #files: FileSystem;
  readonly #fileBytes: number;
  readonly #cacheCharacters: number;
  readonly #onFailure: (error: StorageError) => void;
  readonly #onDamage: (error: StorageError) => void;
  /** Locations of the texts that are synced. */
  readonly #locations = new Map<number, ContentLocation>();
  /** Number of texts in use, by file number. */
  readonly #referenceCounts = new Map<number, number>();
  readonly #pendingTexts = new Map<number, string>();
  /** Recently used texts, least recently used first. */
  readonly #cache = new Map<number, string>();
  #cachedCharacters = 0;
  #nextHandle = 1;
  #nextFileNumber = 1;
  #file: AppendFile | undefined;
  #fileNumber = 0;
  #fileSize = 0;
  #queue: PendingWrite[] = [];
  #activeWrite: Promise<void> | undefined;
  #failure: StorageError | undefined;

  constructor(options: ContentStoreOptions) {
    this.#folder = options.folder;
    this.#files = options.fileSystem ?? new NodeFileSystem();
    this.#fileBytes = options.fileBytes ?? DEFAULT_FILE_BYTES;
    this.#cacheCharacters = options.cacheCharacters ?? DEFAULT_CACHE_CHARACTERS;
    this.#onFailure = options.onFailure ?? (() => undefined);
    this.#onDamage = options.onDamage ?? (() => undefined);
  }

  /**
   * Lists the existing files; new texts go into a new file. Must be called once, before any other
   * method.
   */
  async open(): Promise<void> {
    try {
      await this.#files.ensureFolder(this.#folder);
      for (const number of await this.#listFileNumbers()) this.#registerFile(number);
    } catch (error) {
      const message = `can't be opened; check the folder, its permissions and space: ${messageOf(error)}`;
      throw StorageError.at(this.#folder, 'unopenable', message, error);
    }
  }

  async close(): Promise<void> {
    await this.#activeWrite;
    await this.#file?.close();
    this.#file = undefined;
  }

  /** Queues a text to be written and returns its handle. */
  put(text: string): number {
    const handle = this.#nextHandle;
    this.putWithHandle(handle, text);
    return handle;
  }

  /** Like {@link put}, under a handle that another host assigned. */
  putWithHandle(handle: number, text: string): void {
    this.#nextHandle = Math.max(this.#nextHandle, handle + 1);
    this.#pendingTexts.set(handle, text);
    this.#addToCache(handle, text);
    this.#queue.push({ handle, text });
    this.#activeWrite ??= this.#drainQueue();
  }

  /** Registers a text that was written before a restart. */
  restore(handle: number, location: ContentLocation): void {
    this.#nextHandle = Math.max(this.#nextHandle, handle + 1);
    this.#registerFile(location.file);
    this.#setLocation(handle, location);
  }

  has(handle: number): boolean {
    return this.#locations.has(handle) || this.#pendingTexts.has(handle);
  }

  /** Rejects with a `damaged` {@link StorageError} if the text is unknown, unreadable or corrupt. */
  async get(handle: number): Promise<string> {
    const cached = this.#cache.get(handle) ?? this.#pendingTexts.get(handle);
    const text = cached ?? (await this.#read(handle));
    this.#addToCache(handle, text);
    return text;
  }

  /** Location of a text, for a snapshot; `undefined` until the text is synced, see {@link flush}. */
  locationOf(handle: number): ContentLocation | undefined {
    return this.#locations.get(handle);
  }

  drop(handle: number): void {
    const location = this.#locations.get(handle);
    if (location !== undefined)
      this.#referenceCounts.set(location.file, (this.#referenceCounts.get(location.file) ?? 1) - 1);
    this.#locations.delete(handle);
    this.#pendingTexts.delete(handle);
    this.#removeFromCache(handle);
  }

  /** Drops all texts, before a snapshot is loaded. */
  reset(): void {
    for (const handle of [...this.#locations.keys(), ...this.#pendingTexts.keys()])
      this.drop(handle);
  }

  /** Resolves once all queued texts are synced; rejects if a write failed. */
  async flush(): Promise<void> {
    while (this.#activeWrite !== undefined) await this.#activeWrite;
    if (this.#failure !== undefined) throw this.#failure;
  }

  /** Numbers of the closed files without a text in use. */
  unusedFiles(): readonly number[] {
    return [...this.#referenceCounts]
      .filter(([number, count]) => count === 0 && number !== this.#fileNumber)
      .map(([number]) => number);
  }

  /** Removes files, except those with a text in use. No snapshot on disk may refer to them. */
  async removeFiles(numbers: readonly number[]): Promise<void> {
    for (const number of numbers) {
      if ((this.#referenceCounts.get(number) ?? 0) > 0) continue;
      this.#referenceCounts.delete(number);
      await this.#files.remove(this.#path(number));
    }
  }

  #path(number: number): string {
    return join(this.#folder, `contents-${String(number).padStart(10, '0')}`);
  }

  async #listFileNumbers(): Promise<readonly number[]> {
    const names = await this.#files.list(this.#folder);
    return names.flatMap((name) => FILE_NAME.exec(name)?.[1] ?? []).map(Number);
  }

  #registerFile(number: number): void {
    this.#nextFileNumber = Math.max(this.#nextFileNumber, number + 1);
    if (!this.#referenceCounts.has(number)) this.#referenceCounts.set(number, 0);
  }

  #setLocation(handle: number, location: ContentLocation): void {
    this.#locations.set(handle, location);
    this.#referenceCounts.set(location.file, (this.#referenceCounts.get(location.file) ?? 0) + 1);
  }

  async #read(handle: number): Promise<string> {
    const location = this.#locations.get(handle);
    if (location === undefined)
      throw this.#reportDamage(this.#folder, `no text is stored under handle ${handle}`);
    const file = this.#path(location.file);
    const bytes = await this.#readBytes(file, location);
    const records = decodeSingleFrame(bytes);
    if (records === undefined) throw this.#reportDamage(file, `damaged at byte ${location.offset}`);
    return records.join('\n');
  }

  async #readBytes(file: string, { offset, length }: ContentLocation): Promise<Buffer> {
    try {
      return await this.#files.readAt(file, offset, length);
    } catch (error) {
      throw this.#reportDamage(file, `can't be read: ${messageOf(error)}`, error);
    }
  }

  #reportDamage(path: string, problem: string, cause?: unknown): StorageError {
    const message = `${problem}; restart: the member copies its records from its peers, if it has any`;
    const error = StorageError.at(path, 'damaged', message, cause);
    this.#onDamage(error);
    return error;
  }

  async #drainQueue(): Promise<void> {
    try {
      while (this.#queue.length > 0) await this.#writeBatch();
    } catch (error) {
      this.#recordFailure(error);
    }
    this.#activeWrite = undefined;
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#queue;
    this.#queue = [];
    const file = await this.#currentFile();
    const frames = batch.map(({ text }) => encodeFrame([text]));
    await file.append(Buffer.concat(frames));
    await file.sync();
    batch.forEach(({ handle }, index) => {
      const length = frames[index]?.length ?? 0;
      const location = { file: this.#fileNumber, offset: this.#fileSize, length };
      this.#fileSize += length;
      if (this.#pendingTexts.delete(handle)) this.#setLocation(handle, location);
    });
  }

  async #currentFile(): Promise<AppendFile> {
    if (this.#file !== undefined && this.#fileSize < this.#fileBytes) return this.#file;
    await this.#file?.close();
    const number = this.#nextFileNumber;
    this.#registerFile(number);
    const file = await this.#files.create(this.#path(number));
    await file.append(FILE_HEADER);
    await file.sync();
    await this.#files.syncFolder(this.#folder);
    this.#file = file;
    this.#fileNumber = number;
    this.#fileSize = FILE_HEADER.length;
    return file;
  }

  #recordFailure(error: unknown): void {
    if (this.#failure !== undefined) return;
    const message = `can't be written; free disk space or repair the disk, then restart: ${messageOf(error)}`;
    this.#failure = StorageError.at(this.#folder, 'unwritable', message, error);
    this.#onFailure(this.#failure);
  }

  #addToCache(handle: number, text: string): void {
    this.#removeFromCache(handle);
    this.#cache.set(handle, text);
    this.#cachedCharacters += text.length;
    for (const oldest of this.#cache.keys()) {
      if (this.#cachedCharacters <= this.#cacheCharacters) return;
      this.#removeFromCache(oldest);
    }
  }

  #removeFromCache(handle: number): void {
    const text = this.#cache.get(handle);
    if (text === undefined) return;
    this.#cache.delete(handle);
    this.#cachedCharacters -= text.length;
  }
}

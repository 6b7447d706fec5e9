import { join } from 'node:path';
import * as z from 'zod';
import { messageOf } from '../core';
import { StorageError } from './errors';
import { type AppendFile, type FileSystem, NodeFileSystem } from './file-system';
import { FILE_MARK, decodeOnlyFrame, encodeFrame } from './frame';

/** Where a content lies on this host's disk; offset and length in bytes. */
export const contentPlaceSchema = z.object({
  file: z.int().positive(),
  offset: z.int().nonnegative(),
  length: z.int().positive(),
});
export type ContentPlace = Readonly<z.output<typeof contentPlaceSchema>>;

export interface ContentStoreOptions {
  readonly folder: string;
  readonly fileSystem?: FileSystem;
  /** Size from which a file is closed and the next one begun; bytes. */
  readonly fileBytes?: number;
  /** Texts used lately that stay in memory; characters. */
  readonly cacheCharacters?: number;
  /** Called once when a write fails. */
  readonly onFailure?: (error: StorageError) => void;
  /** Called when a text can't be read back; it is lost on this host. */
  readonly onDamage?: (error: StorageError) => void;
}

const DEFAULT_FILE_BYTES = 64 * 1024 * 1024;
const DEFAULT_CACHE_CHARACTERS = 32 * 1024 * 1024;
const FILE_NAME = /^contents-(\d{10})$/;

/** A content that is not on disk yet. */
interface Unwritten {
  readonly handle: number;
  readonly text: string;
}

/**
 * Texts on disk, by handle: what is too large to be held in memory and is read seldom. Texts are
 * written in the background; the log holds them until a snapshot, before which {@link flush} is
 * called, so that nothing rests on a text that could be lost.
 */
export class ContentStore {
  readonly #folder: string;
  readonly #files: FileSystem;
  readonly #fileBytes: number;
  readonly #cacheCharacters: number;
  readonly #onFailure: (error: StorageError) => void;
  readonly #onDamage: (error: StorageError) => void;
  /** Where the texts lie; those not written yet are absent. */
  readonly #places = new Map<number, ContentPlace>();
  /** Number of texts in each file that are still in use. */
  readonly #uses = new Map<number, number>();
  readonly #unwritten = new Map<number, string>();
  /** Texts used lately, the oldest first. */
  readonly #cache = new Map<number, string>();
  #cachedCharacters = 0;
  #nextHandle = 1;
  #nextFile = 1;
  #file: AppendFile | undefined;
  #fileNumber = 0;
  #fileSize = 0;
  #queue: Unwritten[] = [];
  #writing: Promise<void> | undefined;
  #failure: StorageError | undefined;

  constructor(options: ContentStoreOptions) {
    this.#folder = options.folder;
    this.#files = options.fileSystem ?? new NodeFileSystem();
    this.#fileBytes = options.fileBytes ?? DEFAULT_FILE_BYTES;
    this.#cacheCharacters = options.cacheCharacters ?? DEFAULT_CACHE_CHARACTERS;
    this.#onFailure = options.onFailure ?? (() => undefined);
    this.#onDamage = options.onDamage ?? (() => undefined);
  }

  /** Finds out which files there are; new texts go into another one. Called once, first. */
  async open(): Promise<void> {
    try {
      await this.#files.ensureFolder(this.#folder);
      for (const number of await this.#numbers()) this.#countFile(number);
    } catch (error) {
      const message = `can't be opened; check the folder, its permissions and space: ${messageOf(error)}`;
      throw StorageError.at(this.#folder, 'unopenable', message, error);
    }
  }

  async close(): Promise<void> {
    await this.#writing;
    await this.#file?.close();
    this.#file = undefined;
  }

  /** Takes a text; returns its handle at once. */
  put(text: string): number {
    const handle = this.#nextHandle;
    this.putAs(handle, text);
    return handle;
  }

  /** Takes a text under the handle that another host gave it. */
  putAs(handle: number, text: string): void {
    this.#nextHandle = Math.max(this.#nextHandle, handle + 1);
    this.#unwritten.set(handle, text);
    this.#remember(handle, text);
    this.#queue.push({ handle, text });
    this.#writing ??= this.#write();
  }

  /** Takes over a text that was written before a restart. */
  adopt(handle: number, place: ContentPlace): void {
    this.#nextHandle = Math.max(this.#nextHandle, handle + 1);
    this.#countFile(place.file);
    this.#setPlace(handle, place);
  }

  has(handle: number): boolean {
    return this.#places.has(handle) || this.#unwritten.has(handle);
  }

  /** Reads a text; rejects with a `damaged` {@link StorageError} if it is not what was written. */
  async get(handle: number): Promise<string> {
    const known = this.#cache.get(handle) ?? this.#unwritten.get(handle);
    const text = known ?? (await this.#read(handle));
    this.#remember(handle, text);
    return text;
  }

  /** Where a written text lies, for a snapshot; call {@link flush} first. */
  placeOf(handle: number): ContentPlace | undefined {
    return this.#places.get(handle);
  }

  drop(handle: number): void {
    const place = this.#places.get(handle);
    if (place !== undefined) this.#uses.set(place.file, (this.#uses.get(place.file) ?? 1) - 1);
    this.#places.delete(handle);
    this.#unwritten.delete(handle);
    this.#forget(handle);
  }

  /** Drops everything: a snapshot takes its place. */
  reset(): void {
    for (const handle of [...this.#places.keys(), ...this.#unwritten.keys()]) this.drop(handle);
  }

  /** Resolves once every text taken so far is synced. */
  async flush(): Promise<void> {
    while (this.#writing !== undefined) await this.#writing;
    if (this.#failure !== undefined) throw this.#failure;
  }

  /** Files that hold nothing in use now. */
  unusedFiles(): readonly number[] {
    return [...this.#uses]
      .filter(([number, uses]) => uses === 0 && number !== this.#fileNumber)
      .map(([number]) => number);
  }

  /** Removes files that no snapshot on disk needs any more. */
  async removeFiles(numbers: readonly number[]): Promise<void> {
    for (const number of numbers) {
      if ((this.#uses.get(number) ?? 0) > 0) continue;
      this.#uses.delete(number);
      await this.#files.remove(this.#path(number));
    }
  }

  #path(number: number): string {
    return join(this.#folder, `contents-${String(number).padStart(10, '0')}`);
  }

  async #numbers(): Promise<readonly number[]> {
    const names = await this.#files.list(this.#folder);
    return names.flatMap((name) => FILE_NAME.exec(name)?.[1] ?? []).map(Number);
  }

  #countFile(number: number): void {
    this.#nextFile = Math.max(this.#nextFile, number + 1);
    if (!this.#uses.has(number)) this.#uses.set(number, 0);
  }

  #setPlace(handle: number, place: ContentPlace): void {
    this.#places.set(handle, place);
    this.#uses.set(place.file, (this.#uses.get(place.file) ?? 0) + 1);
  }

  async #read(handle: number): Promise<string> {
    const place = this.#places.get(handle);
    if (place === undefined) throw this.#damaged(this.#folder, `content ${handle} is not known`);
    const file = this.#path(place.file);
    const bytes = await this.#readBytes(file, place);
    const records = decodeOnlyFrame(bytes);
    if (records === undefined) throw this.#damaged(file, `damaged at byte ${place.offset}`);
    return records.join('\n');
  }

  async #readBytes(file: string, { offset, length }: ContentPlace): Promise<Buffer> {
    try {
      return await this.#files.readAt(file, offset, length);
    } catch (error) {
      throw this.#damaged(file, `can't be read: ${messageOf(error)}`, error);
    }
  }

  #damaged(path: string, what: string, cause?: unknown): StorageError {
    const message = `${what}; restart: the member is filled again from its peers, if it has any`;
    const error = StorageError.at(path, 'damaged', message, cause);
    this.#onDamage(error);
    return error;
  }

  async #write(): Promise<void> {
    try {
      while (this.#queue.length > 0) await this.#writeBatch();
    } catch (error) {
      this.#fail(error);
    }
    this.#writing = undefined;
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
      const place = { file: this.#fileNumber, offset: this.#fileSize, length };
      this.#fileSize += length;
      if (this.#unwritten.delete(handle)) this.#setPlace(handle, place);
    });
  }

  async #currentFile(): Promise<AppendFile> {
    if (this.#file !== undefined && this.#fileSize < this.#fileBytes) return this.#file;
    await this.#file?.close();
    const number = this.#nextFile;
    this.#countFile(number);
    const file = await this.#files.create(this.#path(number));
    await file.append(FILE_MARK);
    await file.sync();
    await this.#files.syncFolder(this.#folder);
    this.#file = file;
    this.#fileNumber = number;
    this.#fileSize = FILE_MARK.length;
    return file;
  }

  #fail(error: unknown): void {
    if (this.#failure !== undefined) return;
    const message = `can't be written; free space or mend the disk, then restart: ${messageOf(error)}`;
    this.#failure = StorageError.at(this.#folder, 'unwritable', message, error);
    this.#onFailure(this.#failure);
  }

  #remember(handle: number, text: string): void {
    this.#forget(handle);
    this.#cache.set(handle, text);
    this.#cachedCharacters += text.length;
    for (const oldest of this.#cache.keys()) {
      if (this.#cachedCharacters <= this.#cacheCharacters) return;
      this.#forget(oldest);
    }
  }

  #forget(handle: number): void {
    const text = this.#cache.get(handle);
    if (text === undefined) return;
    this.#cache.delete(handle);
    this.#cachedCharacters -= text.length;
  }
}

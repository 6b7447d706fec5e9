import { constants } from 'node:fs';
import { type FileHandle, mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import { dirname } from 'node:path';

export interface AppendFile {
  /** Writes all bytes; they are durable once {@link sync} has resolved. */
  append(bytes: Buffer): Promise<void>;
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** File operations of the stores; each method rejects with the operating system's error. */
export interface FileSystem {
  /** Creates a folder and its parents, and syncs their directory entries. */
  ensureFolder(folder: string): Promise<void>;
  list(folder: string): Promise<readonly string[]>;
  read(file: string): Promise<Buffer>;
  /** Reads up to `length` bytes; fewer at the end of the file. */
  readAt(file: string, offset: number, length: number): Promise<Buffer>;
  /** Creates an empty file; its directory entry is durable after {@link syncFolder}. */
  create(file: string): Promise<AppendFile>;
  /** Like {@link create}, with synchronous writes where the operating system supports them. */
  createSynchronous(file: string): Promise<AppendFile>;
  /** Truncates a file to `length` bytes and opens it for synchronous appends. */
  openForAppend(file: string, length: number): Promise<AppendFile>;
  rename(from: string, to: string): Promise<void>;
  /** Removes a file, or a folder with its contents; missing paths are ignored. */
  remove(path: string): Promise<void>;
  syncFolder(folder: string): Promise<void>;
}

/** Permissions for the owner alone, as the files hold key digests and message histories. */
const OWNER_ONLY = { file: 0o600, folder: 0o700 } as const;

export interface NodeFileSystemOptions {
  /**
   * Whether files for synchronous writes are opened with `O_DSYNC`. Disable it on operating systems
   * that may ignore the flag: {@link AppendFile.sync} then calls `fdatasync`.
   */
  readonly synchronousWrites?: boolean;
}

export class NodeFileSystem implements FileSystem {
  readonly #synchronousWrites: boolean;

  constructor({ synchronousWrites = true }: NodeFileSystemOptions = {}) {
    this.#synchronousWrites = synchronousWrites;
  }

  async ensureFolder(folder: string): Promise<void> {
    const first = await mkdir(folder, { recursive: true, mode: OWNER_ONLY.folder });
    if (first === undefined) return;
    for (let path = folder; path.length >= first.length; path = dirname(path)) {
      await this.syncFolder(dirname(path));
    }
  }

  list(folder: string): Promise<readonly string[]> {
    return readdir(folder);
  }

  read(file: string): Promise<Buffer> {
    return readFile(file);
  }

  async readAt(file: string, offset: number, length: number): Promise<Buffer> {
    const handle = await open(file, 'r');
    try {
      const { buffer, bytesRead } = await handle.read(Buffer.alloc(length), 0, length, offset);
      return buffer.subarray(0, bytesRead);
    } finally {
      await handle.close();
    }
  }

  async create(file: string): Promise<AppendFile> {
    return new NodeAppendFile(await open(file, 'w', OWNER_ONLY.file), false);
  }

  async createSynchronous(file: string): Promise<AppendFile> {
    const { O_WRONLY, O_CREAT, O_TRUNC } = constants;
    const flags = O_WRONLY | O_CREAT | O_TRUNC | this.#synchronousFlag;
    const handle = await open(file, flags, OWNER_ONLY.file);
    return new NodeAppendFile(handle, this.#synchronousWrites);
  }

  async openForAppend(file: string, length: number): Promise<AppendFile> {
    const { O_WRONLY, O_APPEND } = constants;
    const handle = await open(file, O_WRONLY | O_APPEND | this.#synchronousFlag);
    await handle.truncate(length);
    await handle.sync();
    return new NodeAppendFile(handle, this.#synchronousWrites);
  }

  get #synchronousFlag(): number {
    return this.#synchronousWrites ? constants.O_DSYNC : 0;
  }

  rename(from: string, to: string): Promise<void> {
    return rename(from, to);
  }

  remove(path: string): Promise<void> {
    return rm(path, { recursive: true, force: true });
  }

  async syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class NodeAppendFile implements AppendFile {
  readonly #handle: FileHandle;
  readonly #synchronous: boolean;

  constructor(handle: FileHandle, synchronous: boolean) {
    this.#handle = handle;
    this.#synchronous = synchronous;
  }

  async append(bytes: Buffer): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const result = await this.#handle.write(bytes, written);
      written += result.bytesWritten;
    }
  }

  sync(): Promise<void> {
    if (this.#synchronous) return Promise.resolve();
    return this.#handle.datasync();
  }

  close(): Promise<void> {
    return this.#handle.close();
  }
}

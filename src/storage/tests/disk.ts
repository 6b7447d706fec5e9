import { basename, dirname } from 'node:path';
import type { RandomSource } from '../../core';
import type { AppendFile, FileSystem } from '..';

interface Content {
  bytes: Buffer;
  synced: number;
}

/** Bytes around the end of a write that a loss of power may spoil. */
const SPOILED = 0x5a;

/**
 * A disk in memory that loses power: of what was not synced, each write may be there, missing or
 * spoiled, and names that were not synced may be gone.
 */
export class MemoryDisk {
  #files = new Map<string, Content>();
  /** Names as they stand after a loss of power. */
  #lasting = new Map<string, Content>();
  #life = 0;
  #held: (() => void)[] = [];
  /** Once set, operations wait until they are let go. */
  slow = false;
  /** Once set, every write fails as on a full disk. */
  full = false;

  /** The disk as one process sees it; after a loss of power that process can do nothing more. */
  mount(): FileSystem {
    const life = this.#life;
    const act = async <T>(action: () => T, writes = false): Promise<T> => {
      if (this.slow) await new Promise<void>((resolve) => this.#held.push(resolve));
      else await Promise.resolve();
      if (life !== this.#life) throw new Error('the power is gone');
      if (writes && this.full) throw new Error('ENOSPC: no space left on device');
      return action();
    };
    const open = (content: Content): AppendFile => ({
      append: (bytes) =>
        act(() => {
          content.bytes = Buffer.concat([content.bytes, bytes]);
        }, true),
      sync: () =>
        act(() => {
          content.synced = content.bytes.length;
        }),
      close: () => Promise.resolve(),
    });
    return {
      ensureFolder: () => Promise.resolve(),
      list: (folder) => act(() => this.#list(folder)),
      read: (file) => act(() => Buffer.from(this.#content(file).bytes)),
      readAt: (file, offset, length) =>
        act(() => Buffer.from(this.#content(file).bytes.subarray(offset, offset + length))),
      create: (file) => act(() => open(this.#create(file)), true),
      createSynchronous: (file) => act(() => open(this.#create(file)), true),
      openAt: (file, length) => act(() => open(this.#cut(file, length))),
      rename: (from, to) =>
        act(() => {
          this.#files.set(to, this.#content(from));
          this.#files.delete(from);
        }),
      remove: (path) =>
        act(() => {
          this.#files.delete(path);
        }),
      syncFolder: (folder) =>
        act(() => {
          this.#syncFolder(folder);
        }),
    };
  }

  /** Lets some of the operations go that wait on a slow disk. */
  letGo(count = Infinity): void {
    for (const go of this.#held.splice(0, count)) go();
  }

  /** Takes everything away, as a new disk in place of the old one. */
  wipe(): void {
    this.#life += 1;
    this.#held = [];
    this.#files.clear();
    this.#lasting.clear();
  }

  /** Takes the power away. */
  crash(random: RandomSource): void {
    this.#life += 1;
    this.#held = [];
    for (const content of this.#lasting.values()) {
      const tail = Buffer.from(content.bytes.subarray(content.synced));
      const kept = Math.floor(random.fraction() * (tail.length + 1));
      if (random.fraction() < 0.3) tail.fill(SPOILED, Math.floor(random.fraction() * tail.length));
      content.bytes = Buffer.concat([
        content.bytes.subarray(0, content.synced),
        tail.subarray(0, kept),
      ]);
    }
    this.#files = new Map(this.#lasting);
  }

  /** Changes one bit of a file. */
  flip(file: string, offset: number): void {
    const { bytes } = this.#content(file);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
  }

  #list(folder: string): readonly string[] {
    const paths = [...this.#files.keys()].filter((path) => dirname(path) === folder);
    return paths.map((path) => basename(path));
  }

  #create(file: string): Content {
    const content = { bytes: Buffer.alloc(0), synced: 0 };
    this.#files.set(file, content);
    return content;
  }

  #cut(file: string, length: number): Content {
    const content = this.#content(file);
    content.bytes = content.bytes.subarray(0, length);
    content.synced = length;
    return content;
  }

  #syncFolder(folder: string): void {
    for (const path of new Set([...this.#files.keys(), ...this.#lasting.keys()])) {
      if (dirname(path) !== folder) continue;
      const content = this.#files.get(path);
      if (content === undefined) this.#lasting.delete(path);
      else this.#lasting.set(path, content);
    }
  }

  #content(file: string): Content {
    const content = this.#files.get(file);
    if (content === undefined) throw new Error(`ENOENT: ${file}`);
    return content;
  }
}

import { basename, dirname, join } from 'node:path';
import { StorageError } from './errors';
import { NodeFileSystem } from './file-system';
import type { Compaction, RecordStore, StoredRecords } from './record-store';
import { SegmentedStore, type SegmentedStoreOptions } from './segmented-store';

export interface QuarantiningStoreOptions extends SegmentedStoreOptions {
  /** Whether others hold what this store may lose. */
  readonly mayQuarantine: boolean;
  /** Told of the damage and of the folder that keeps it. */
  readonly onQuarantine: (error: StorageError, movedTo: string) => void;
}

/**
 * A segmented store that is moved aside when it is damaged, and begun anew, so that its owner is
 * filled again by its peers. Nothing is removed: an operator may look at it and does so.
 */
export class QuarantiningStore implements RecordStore {
  readonly #options: QuarantiningStoreOptions;
  #store: SegmentedStore;

  constructor(options: QuarantiningStoreOptions) {
    this.#options = options;
    this.#store = new SegmentedStore(options);
  }

  async load(): Promise<StoredRecords> {
    try {
      return await this.#store.load();
    } catch (error) {
      if (!this.#options.mayQuarantine || !isDamage(error)) throw error;
      const movedTo = await this.#moveAside();
      this.#options.onQuarantine(error, movedTo);
      this.#store = new SegmentedStore(this.#options);
      return this.#store.load();
    }
  }

  append(records: readonly string[]): Promise<void> {
    return this.#store.append(records);
  }

  compact(compaction: Compaction): Promise<void> {
    return this.#store.compact(compaction);
  }

  close(): Promise<void> {
    return this.#store.close();
  }

  async #moveAside(): Promise<string> {
    const { folder, fileSystem = new NodeFileSystem() } = this.#options;
    const parent = dirname(folder);
    const names = await fileSystem.list(parent);
    let count = 1;
    while (names.includes(`${basename(folder)}.damaged-${count}`)) count += 1;
    const movedTo = join(parent, `${basename(folder)}.damaged-${count}`);
    await fileSystem.rename(folder, movedTo);
    await fileSystem.syncFolder(parent);
    return movedTo;
  }
}

function isDamage(error: unknown): error is StorageError {
  return error instanceof StorageError && error.issues.some((issue) => issue.code === 'damaged');
}

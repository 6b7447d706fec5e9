import { basename, dirname, join } from 'node:path';
import { StorageError } from './errors';
import { NodeFileSystem } from './file-system';
import type { Compaction, RecordConsumer, RecordStore, StoredRecords } from './record-store';
import { SegmentedStore, type SegmentedStoreOptions } from './segmented-store';

export interface QuarantiningStoreOptions extends SegmentedStoreOptions {
  /** Whether other members hold copies of the records, so that this store may start empty. */
  readonly mayQuarantine: boolean;
  /** Called with the error and the folder that the damaged files were moved to. */
  readonly onQuarantine: (error: StorageError, movedTo: string) => void;
}

/**
 * A segmented store that, when {@link load} finds it damaged, renames its folder to
 * `FOLDER.damaged-N` and starts empty, so that its owner can copy the records from its peers. The
 * damaged folder is kept until an operator removes it.
 */
export class QuarantiningStore implements RecordStore {
  readonly #options: QuarantiningStoreOptions;
  #store: SegmentedStore;

  constructor(options: QuarantiningStoreOptions) {
    this.#options = options;
    this.#store = new SegmentedStore(options);
  }

  async load(consumer?: RecordConsumer): Promise<StoredRecords> {
    try {
      return await this.#store.load(consumer);
    } catch (error) {
      if (!this.#options.mayQuarantine || !isDamageError(error)) throw error;
      const movedTo = await this.#quarantine();
      this.#options.onQuarantine(error, movedTo);
      this.#store = new SegmentedStore(this.#options);
      consumer?.reset();
      return this.#store.load(consumer);
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

  async #quarantine(): Promise<string> {
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

function isDamageError(error: unknown): error is StorageError {
  return error instanceof StorageError && error.issues.some((issue) => issue.code === 'damaged');
}

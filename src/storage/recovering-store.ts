import { type Clock, type Logger, delay, messageOf } from '../core';
import { StorageError } from './errors';
import type { Compaction, RecordConsumer, RecordStore, StoredRecords } from './record-store';

const FIRST_RETRY_MILLISECONDS = 1000;

/** Each try reads all files, and may write as much. */
const LONGEST_RETRY_MILLISECONDS = 4000;

export interface RecoveringStoreOptions {
  /** Name in the log. */
  readonly name: string;
  /** Creates the store; called again after it has failed. */
  readonly openStore: () => RecordStore;
  /** Everything that the store holds, from memory; replaces its content after a failure. */
  readonly snapshot: () => Iterable<string>;
  /** Whether {@link RecoveringStore.load} waits until the store can be read; true by default. */
  readonly loadWaits?: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

const DISCARDED: RecordConsumer = {
  reset: () => undefined,
  takeSnapshotRow: () => undefined,
  takeRecord: () => undefined,
};

/**
 * A store whose owner outlives failures of the disk. After a failed write the content of the files is
 * unknown: writes are rejected until the store was opened again and replaced by a snapshot of what
 * its owner holds, which includes all that was acknowledged.
 */
export class RecoveringStore implements RecordStore {
  readonly #options: RecoveringStoreOptions;
  /** Takes what is stored; undefined once it was read. */
  #consumer: RecordConsumer | undefined;
  /** Undefined while the store can't be used. */
  #store: RecordStore | undefined;
  #recovery: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: RecoveringStoreOptions) {
    this.#options = options;
  }

  get isUsable(): boolean {
    return this.#store !== undefined;
  }

  /** Passes what is stored to the consumer, also if that is possible only later. */
  async load(consumer: RecordConsumer = DISCARDED): Promise<StoredRecords> {
    this.#consumer = consumer;
    if (!(await this.#open())) {
      const recovery = this.#recover();
      if (this.#options.loadWaits ?? true) await recovery;
    }
    if (this.#isClosed) throw this.#unusable('closed', 'the store was closed before it was read');
    return { snapshot: undefined, records: [] };
  }

  append(records: readonly string[]): Promise<void> {
    return this.#write((store) => store.append(records));
  }

  compact(compaction: Compaction): Promise<void> {
    return this.#write((store) => store.compact(compaction));
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    const store = this.#store;
    this.#store = undefined;
    await store?.close();
  }

  async #write(write: (store: RecordStore) => Promise<void>): Promise<void> {
    const store = this.#store;
    if (store === undefined) {
      throw this.#unusable('unwritable', 'the disk refused an earlier write; it is tried again');
    }
    try {
      await write(store);
    } catch (error) {
      if (this.#store === store) this.#fail(store, error);
      throw error;
    }
  }

  #fail(store: RecordStore, error: unknown): void {
    const { name, logger } = this.#options;
    this.#store = undefined;
    logger.error({ event: 'storage-failed', store: name, error: messageOf(error) });
    void this.#recover(store);
  }

  /** Resolves once the store can be used or is closed. */
  #recover(failed?: RecordStore): Promise<void> {
    this.#recovery ??= this.#repeatOpen(failed).finally(() => {
      this.#recovery = undefined;
    });
    return this.#recovery;
  }

  async #repeatOpen(failed: RecordStore | undefined): Promise<void> {
    const { name, clock, logger } = this.#options;
    await failed?.close().catch(() => undefined);
    let retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    do {
      await delay(clock, retryMilliseconds);
      retryMilliseconds = Math.min(retryMilliseconds * 2, LONGEST_RETRY_MILLISECONDS);
      if (this.#isClosed) return;
    } while (!(await this.#open()));
    logger.info({ event: 'storage-recovered', store: name });
  }

  /** Resolves with whether the store can be used. */
  async #open(): Promise<boolean> {
    const { name, openStore, snapshot, logger } = this.#options;
    const consumer = this.#consumer;
    const store = openStore();
    try {
      consumer?.reset();
      const { snapshot: rows = [], records } = await store.load(consumer ?? DISCARDED);
      for (const row of rows) consumer?.takeSnapshotRow(row);
      for (const record of records) consumer?.takeRecord(record);
      if (consumer === undefined) {
        await store.compact({ snapshot: snapshot(), records: [], exclusive: true });
      }
    } catch (error) {
      logger.warn({ event: 'storage-unavailable', store: name, error: messageOf(error) });
      await store.close().catch(() => undefined);
      return false;
    }
    this.#consumer = undefined;
    if (this.#isClosed) await store.close();
    else this.#store = store;
    return true;
  }

  #unusable(code: string, message: string): StorageError {
    return StorageError.at(this.#options.name, code, message);
  }
}

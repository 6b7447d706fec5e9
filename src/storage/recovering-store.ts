import { type Clock, type Logger, delay, messageOf } from '../core';
import { StorageError } from './errors';
import type { Compaction, RecordConsumer, RecordStore, StoredRecords } from './record-store';
import { RetryDelay } from './retry-delay';

const FIRST_RETRY_MILLISECONDS = 1000;

/** Each try reads all files, and may write as much. */
const LONGEST_RETRY_MILLISECONDS = 4000;

/** Each reload reads all files, and its cause may recur with the same record. */
const LONGEST_RELOAD_MILLISECONDS = 32_000;

export interface RecoveringStoreOptions {
  /** Name in the log. */
  readonly name: string;
  /** Creates the store; called again after it has failed. */
  readonly openStore: () => RecordStore;
  /**
   * Everything that the store holds, from memory; replaces its content after a failure. Must throw,
   * also while it is iterated, if the owner's state becomes uncertain.
   */
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
 * its owner holds, which includes all that was acknowledged. If what the owner holds is uncertain
 * instead, {@link RecoveringStore.reload} reads the files again.
 */
export class RecoveringStore implements RecordStore {
  readonly #options: RecoveringStoreOptions;
  readonly #reloadDelay: RetryDelay;
  /** The consumer of {@link load}. */
  #owner: RecordConsumer = DISCARDED;
  /** Takes what is stored; undefined once it was read. */
  #consumer: RecordConsumer | undefined;
  /** Undefined while the store can't be used. */
  #store: RecordStore | undefined;
  #recovery: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: RecoveringStoreOptions) {
    this.#options = options;
    this.#reloadDelay = new RetryDelay({
      clock: options.clock,
      longestMilliseconds: LONGEST_RELOAD_MILLISECONDS,
    });
  }

  get isUsable(): boolean {
    return this.#store !== undefined;
  }

  /** Passes what is stored to the consumer, also if that is possible only later. */
  async load(consumer: RecordConsumer = DISCARDED): Promise<StoredRecords> {
    this.#owner = consumer;
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

  async reload(cause: unknown): Promise<boolean> {
    const { name, logger } = this.#options;
    const store = this.#store;
    this.#store = undefined;
    this.#consumer = this.#owner;
    const delayMilliseconds = this.#reloadDelay.next();
    const stack = cause instanceof Error ? cause.stack : undefined;
    const error = messageOf(cause);
    logger.error({ event: 'storage-read-again', store: name, error, stack, delayMilliseconds });
    // A recovery that is under way may have read the files already.
    while (this.#isUnread && !this.#isClosed) await this.#recover(store, delayMilliseconds);
    return !this.#isClosed;
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

  get #isUnread(): boolean {
    return this.#consumer !== undefined;
  }

  /** Resolves once the store can be used or is closed. */
  #recover(
    failed?: RecordStore,
    delayMilliseconds: number = FIRST_RETRY_MILLISECONDS,
  ): Promise<void> {
    this.#recovery ??= this.#repeatOpen(failed, delayMilliseconds).finally(() => {
      this.#recovery = undefined;
    });
    return this.#recovery;
  }

  async #repeatOpen(failed: RecordStore | undefined, delayMilliseconds: number): Promise<void> {
    const { name, clock, logger } = this.#options;
    await failed?.close().catch(() => undefined);
    const longest = Math.max(delayMilliseconds, LONGEST_RETRY_MILLISECONDS);
    let retryMilliseconds = delayMilliseconds;
    do {
      await delay(clock, retryMilliseconds);
      retryMilliseconds = Math.min(retryMilliseconds * 2, longest);
      if (this.#isClosed) return;
    } while (!(await this.#open()));
    logger.info({ event: 'storage-recovered', store: name });
  }

  /** Resolves with whether the store can be used. */
  async #open(): Promise<boolean> {
    const { name, openStore, snapshot, logger } = this.#options;
    const consumer = this.#consumer;
    let store: RecordStore | undefined;
    try {
      store = openStore();
      consumer?.reset();
      const { snapshot: rows = [], records } = await store.load(consumer ?? DISCARDED);
      for (const row of rows) consumer?.takeSnapshotRow(row);
      for (const record of records) consumer?.takeRecord(record);
      if (consumer === undefined) {
        await store.compact({ snapshot: snapshot(), records: [], exclusive: true });
      }
    } catch (error) {
      logger.warn({ event: 'storage-unavailable', store: name, error: messageOf(error) });
      await store?.close().catch(() => undefined);
      return false;
    }
    if (this.#consumer !== consumer) {
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

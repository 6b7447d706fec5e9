export interface StoredRecords {
  /** Rows of the newest snapshot; `undefined` if there is none. */
  readonly snapshot: readonly string[] | undefined;
  /** Records that follow the snapshot, in the order they were appended. */
  readonly records: readonly string[];
}

/** Takes the content of a store as it is read, so that it is never in memory as a whole. */
export interface RecordConsumer {
  /** Drops what was taken: the store turned out to be damaged and starts empty. */
  reset(): void;
  takeSnapshotRow(row: string): void;
  takeRecord(record: string): void;
}

/** A snapshot that replaces the records appended so far. */
export interface Compaction {
  readonly snapshot: Iterable<string>;
  /** Records that follow the snapshot and replace all earlier ones. */
  readonly records: readonly string[];
  /**
   * Whether later appends wait until the snapshot is synced. Required when the snapshot can't be
   * rebuilt from the records stored so far, as later records depend on it.
   */
  readonly exclusive: boolean;
}

/** A durable log of records, of which a snapshot can replace a prefix. Records hold no line feeds. */
export interface RecordStore {
  /**
   * Must be called once, before the first append. With a consumer, which a store may ignore, it
   * resolves without the rows and records that the consumer has taken.
   */
  load(consumer?: RecordConsumer): Promise<StoredRecords>;
  /** Resolves once the records are synced; concurrent calls keep their order. */
  append(records: readonly string[]): Promise<void>;
  /** Resolves once the snapshot is synced and the files that it replaces are removed. */
  compact(compaction: Compaction): Promise<void>;
  /**
   * Discards what the owner holds in memory, as its state became uncertain, and passes the stored
   * records to the consumer of {@link load} again, possibly after a delay. Resolves with false if the
   * store is closed before.
   */
  reload?(cause: unknown): Promise<boolean>;
  close(): Promise<void>;
}

/** Everything that a store holds. */
export interface StoredRecords {
  /** Rows of the newest snapshot; nothing before the first. */
  readonly snapshot: readonly string[] | undefined;
  /** Records that the snapshot does not make needless, in the order they were appended. */
  readonly records: readonly string[];
}

/** How a snapshot takes the place of records. */
export interface Compaction {
  readonly snapshot: Iterable<string>;
  /** Records that stand behind the snapshot in place of all earlier ones. */
  readonly records: readonly string[];
  /**
   * Whether appends that follow wait until the snapshot is synced. They must when they rest on a
   * snapshot that the records stored so far do not lead to.
   */
  readonly exclusive: boolean;
}

/** An ordered, durable list of records, whose beginning a snapshot can replace; texts without line feeds. */
export interface RecordStore {
  /** Reads everything; called once, before the first append. */
  load(): Promise<StoredRecords>;
  /** Resolves once the records are synced, in the order of the calls. */
  append(records: readonly string[]): Promise<void>;
  /** Resolves once the snapshot is synced and what it replaces is gone. */
  compact(compaction: Compaction): Promise<void>;
  close(): Promise<void>;
}

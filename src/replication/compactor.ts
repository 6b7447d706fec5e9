import type { RecordStore } from '../storage';
import type { StateMachine } from './replicated-log-options';
import type { LogEntry } from './messages';
import type { SnapshotMetadata } from './raft-log';
import type { RaftMember } from './raft-member';
import { encodeSnapshot, encodeRecordsAfterSnapshot } from './records';

export interface CompactorOptions {
  readonly incarnation: string;
  readonly store: RecordStore;
  readonly member: RaftMember;
  readonly machine: Pick<StateMachine<unknown>, 'snapshot' | 'flush'>;
  /** Throws once a change of the state has stopped half-way: no snapshot may be stored then. */
  readonly requireIntact: () => void;
  /** Applied entries after which a snapshot is taken. */
  readonly snapshotEntries?: number | undefined;
  /** Characters of applied commands after which a snapshot is taken. */
  readonly snapshotCharacters?: number | undefined;
}

const DEFAULT_SNAPSHOT_ENTRIES = 4096;
const DEFAULT_SNAPSHOT_CHARACTERS = 32 * 1024 * 1024;

/** Fraction of `snapshotEntries` kept in memory, so that slightly lagging members need no snapshot. */
const RETAINED_ENTRIES_FRACTION = 0.25;

/** Replaces applied entries by snapshots, one snapshot at a time. */
export class Compactor {
  readonly #options: CompactorOptions;
  readonly #entryLimit: number;
  readonly #characterLimit: number;
  #appliedCharacters = 0;
  #compacting = false;

  constructor(options: CompactorOptions) {
    this.#options = options;
    this.#entryLimit = options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES;
    this.#characterLimit = options.snapshotCharacters ?? DEFAULT_SNAPSHOT_CHARACTERS;
  }

  recordApplied(entry: LogEntry): void {
    this.#appliedCharacters += entry.command.length;
  }

  /** Stores a snapshot received from the leader together with the local entries that follow it. */
  installSnapshot(metadata: SnapshotMetadata, rows: readonly string[]): Promise<void> {
    const { store, member, incarnation } = this.#options;
    this.#appliedCharacters = 0;
    return store.compact({
      snapshot: encodeSnapshot(metadata, rows),
      records: encodeRecordsAfterSnapshot(
        incarnation,
        member.hardState,
        member.log.entriesAfter(metadata.position),
      ),
      exclusive: true,
    });
  }

  /**
   * Takes a snapshot of the state at `appliedIndex` once either limit is reached since the last
   * one. Rejects when the store fails.
   */
  async compactIfDue(appliedIndex: number): Promise<void> {
    const { member } = this.#options;
    const isOverCharacterLimit = this.#appliedCharacters >= this.#characterLimit;
    const isDue = isOverCharacterLimit || appliedIndex - member.log.base.index >= this.#entryLimit;
    if (!isDue || this.#compacting) return;
    this.#compacting = true;
    try {
      await this.#storeSnapshot(appliedIndex);
      const retained = isOverCharacterLimit
        ? 0
        : Math.floor(this.#entryLimit * RETAINED_ENTRIES_FRACTION);
      if (appliedIndex - retained > member.log.base.index)
        member.log.compactTo(appliedIndex - retained);
    } finally {
      this.#compacting = false;
    }
  }

  async #storeSnapshot(index: number): Promise<void> {
    const { store, member, incarnation, machine } = this.#options;
    const rows = this.#rowsWhileIntact(machine.snapshot());
    const snapshot = encodeSnapshot(member.log.snapshotMetadataAt(index), rows);
    this.#appliedCharacters = 0;
    const finish = await machine.flush?.();
    // A newer snapshot from the leader may have been installed during the flush.
    if (member.log.base.index > index) return;
    const following = member.log.range(index + 1, member.lastIndex);
    const records = encodeRecordsAfterSnapshot(incarnation, member.hardState, following);
    await store.compact({ snapshot, records, exclusive: false });
    await finish?.();
  }

  /** The rows are read while they are written, and may show a change that stopped half-way. */
  *#rowsWhileIntact(rows: Iterable<string>): Generator<string> {
    const { requireIntact } = this.#options;
    for (const row of rows) {
      requireIntact();
      yield row;
    }
    requireIntact();
  }
}

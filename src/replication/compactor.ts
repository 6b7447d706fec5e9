import type { RecordStore } from '../storage';
import type { StateMachine } from './log-options';
import type { LogEntry } from './messages';
import type { SnapshotHead } from './member-log';
import type { RaftMember } from './raft';
import { encodeSnapshot, encodeTail } from './records';

export interface CompactorOptions {
  readonly incarnation: string;
  readonly store: RecordStore;
  readonly member: RaftMember;
  readonly machine: Pick<StateMachine<unknown>, 'snapshot' | 'flush'>;
  /** Applied entries from which a snapshot takes their place. */
  readonly snapshotEntries?: number | undefined;
  /** The same as characters of their commands. */
  readonly snapshotCharacters?: number | undefined;
}

const DEFAULT_SNAPSHOT_ENTRIES = 4096;
const DEFAULT_SNAPSHOT_CHARACTERS = 32 * 1024 * 1024;

/** Share of the entries of one snapshot that stay in memory for members that lag a little. */
const KEPT_SHARE = 0.25;

/** Puts snapshots in place of entries that were applied, one at a time. */
export class Compactor {
  readonly #options: CompactorOptions;
  readonly #entryLimit: number;
  readonly #characterLimit: number;
  #characters = 0;
  #working = false;

  constructor(options: CompactorOptions) {
    this.#options = options;
    this.#entryLimit = options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES;
    this.#characterLimit = options.snapshotCharacters ?? DEFAULT_SNAPSHOT_CHARACTERS;
  }

  noteApplied(entry: LogEntry): void {
    this.#characters += entry.command.length;
  }

  /** Stores a snapshot from the leader, with the entries here that stay behind it. */
  replaceBy(head: SnapshotHead, rows: readonly string[]): Promise<void> {
    const { store, member, incarnation } = this.#options;
    this.#characters = 0;
    return store.compact({
      snapshot: encodeSnapshot(head, rows),
      records: encodeTail(incarnation, member.hardState, member.log.entriesBehind(head.position)),
      exclusive: true,
    });
  }

  /**
   * Takes a snapshot of the state at `appliedIndex` if enough was applied since the last one.
   * Rejects when the disk fails.
   */
  async compactWhenDue(appliedIndex: number): Promise<void> {
    const { member } = this.#options;
    const large = this.#characters >= this.#characterLimit;
    const due = large || appliedIndex - member.log.base.index >= this.#entryLimit;
    if (!due || this.#working) return;
    this.#working = true;
    try {
      await this.#compact(appliedIndex);
      const kept = large ? 0 : Math.floor(this.#entryLimit * KEPT_SHARE);
      if (appliedIndex - kept > member.log.base.index) member.log.compactTo(appliedIndex - kept);
    } finally {
      this.#working = false;
    }
  }

  async #compact(index: number): Promise<void> {
    const { store, member, incarnation, machine } = this.#options;
    const snapshot = encodeSnapshot(member.log.headAt(index), machine.snapshot());
    this.#characters = 0;
    const finish = await machine.flush?.();
    // A snapshot from the leader may have come in between, which is newer.
    if (member.log.base.index > index) return;
    const tail = member.log.range(index + 1, member.lastIndex);
    const records = encodeTail(incarnation, member.hardState, tail);
    await store.compact({ snapshot, records, exclusive: false });
    await finish?.();
  }
}

import { EntryList, LOG_START, type LogPosition } from './entry-list';
import { type Membership, MembershipHistory, NO_MEMBERS } from './membership';
import type { AppendRequest, LogEntry } from './messages';
import type { Outbox } from './outbox';

/** The last position that a snapshot covers and the membership in effect there. */
export interface SnapshotMetadata {
  readonly position: LogPosition;
  readonly membership: Membership;
}

export interface RaftLogOptions {
  /** Last position covered by a snapshot. */
  readonly base?: LogPosition;
  /** Membership in effect at the base. */
  readonly membership?: Membership;
  /** Entries after the base. */
  readonly entries?: readonly LogEntry[];
}

/** The part of a {@link RaftLog} used to create, store and install snapshots. */
export type CompactableLog = Pick<
  RaftLog,
  'base' | 'range' | 'snapshotMetadataAt' | 'entriesAfter' | 'installSnapshot' | 'compactTo'
>;

/**
 * The log of one member: its entries, the memberships they contain, and the synced and committed
 * indexes. Changes that have to be synced are added to the outbox.
 */
export class RaftLog {
  readonly #outbox: Outbox;
  readonly #entries: EntryList;
  readonly #memberships: MembershipHistory;
  #commitIndex: number;
  #syncedIndex: number;

  constructor(options: RaftLogOptions, outbox: Outbox) {
    const { base = LOG_START, membership = NO_MEMBERS, entries = [] } = options;
    this.#outbox = outbox;
    this.#entries = new EntryList(base, entries);
    this.#memberships = new MembershipHistory(base.index, membership);
    this.#recordMemberships(entries);
    this.#commitIndex = base.index;
    this.#syncedIndex = this.#entries.lastIndex;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  get lastIndex(): number {
    return this.#entries.lastIndex;
  }

  get lastTerm(): number {
    return this.#entries.lastTerm;
  }

  /** Last position covered by a snapshot, whose entries are dropped. */
  get base(): LogPosition {
    return this.#entries.base;
  }

  /** The membership in effect, which may not be committed yet. */
  get membership(): Membership {
    return this.#memberships.current;
  }

  /** Whether the membership in effect is committed. */
  get isMembershipCommitted(): boolean {
    return this.#memberships.changedAt <= this.#commitIndex;
  }

  /** Whether the log has no entry, no snapshot and no membership. */
  get isNew(): boolean {
    return this.lastIndex === 0 && this.membership.voters.length === 0;
  }

  /** Term of the entry at `index`, or -1 if unknown. */
  termAt(index: number): number {
    return this.#entries.termAt(index);
  }

  /** Entries from `first` to `last`, both inclusive, at most `limit`. */
  range(first: number, last: number, limit?: number): readonly LogEntry[] {
    return this.#entries.range(first, last, limit);
  }

  /** Whether a log that ends at this position is at least as up to date as this one. */
  isCoveredBy({ index, term }: LogPosition): boolean {
    return term > this.lastTerm || (term === this.lastTerm && index >= this.lastIndex);
  }

  /** Sets the initial membership of a log that has not been bootstrapped. */
  bootstrap(membership: Membership): void {
    this.#memberships.add(0, membership);
    this.#outbox.setInitialMembership(membership);
  }

  /** Appends an entry as the leader; returns its index. */
  appendEntry(term: number, content: Pick<LogEntry, 'command' | 'membership'>): number {
    const entry = { index: this.lastIndex + 1, term, ...content };
    this.#append([entry]);
    return entry.index;
  }

  /** Index after which the leader should retry its append; undefined if the append matches. */
  findRetryIndex({ previousIndex, previousTerm }: AppendRequest): number | undefined {
    const { index: baseIndex } = this.base;
    if (previousIndex < baseIndex || this.termAt(previousIndex) === previousTerm) return undefined;
    const retry = Math.min(previousIndex - 1, this.lastIndex);
    const from = retry > baseIndex ? this.#entries.startOfTerm(retry) - 1 : baseIndex;
    return Math.max(from, Math.min(this.#commitIndex, retry));
  }

  /** Applies a matching append of the leader; returns the last index known to match its log. */
  appendFromLeader({ previousIndex, entries, commitIndex }: AppendRequest): number {
    const { index: baseIndex } = this.base;
    // Entries up to the base are committed, so the leader's log contains the same ones.
    this.#merge(entries.filter((entry) => entry.index > baseIndex));
    const matchIndex = Math.max(baseIndex, previousIndex + entries.length);
    this.#commitIndex = Math.max(this.#commitIndex, Math.min(commitIndex, matchIndex));
    return matchIndex;
  }

  /** Records a sync up to an entry; returns false if that entry has since been replaced. */
  recordSynced(index: number, term: number): boolean {
    if (this.termAt(index) !== term) return false;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
    return true;
  }

  /**
   * Commits up to an index stored by a quorum; returns whether the commit index advanced. The entry
   * there must be of the leader's current term (Raft, section 5.4.2).
   */
  commitTo(index: number, term: number): boolean {
    if (index <= this.#commitIndex || this.termAt(index) !== term) return false;
    this.#commitIndex = index;
    return true;
  }

  /** Drops the entries up to an applied index that a snapshot covers. */
  compactTo(index: number): void {
    this.#memberships.compactTo(index);
    this.#entries.compactTo({ index, term: this.termAt(index) });
  }

  /** Metadata for a snapshot of the state at an index, whose entry or base must be in memory. */
  snapshotMetadataAt(index: number): SnapshotMetadata {
    const position = { index, term: this.termAt(index) };
    return { position, membership: this.#memberships.at(index) };
  }

  /** Entries after a position; none if the log does not contain that position. */
  entriesAfter({ index, term }: LogPosition): readonly LogEntry[] {
    return this.termAt(index) === term ? this.range(index + 1, this.lastIndex) : [];
  }

  /** Replaces the covered entries by a leader's snapshot; returns whether it was newer. */
  installSnapshot({ position, membership }: SnapshotMetadata): boolean {
    if (position.index <= this.#commitIndex) return false;
    this.#entries.compactTo(position);
    this.#memberships.truncateFrom(position.index + 1);
    this.#memberships.add(position.index, membership);
    this.#memberships.compactTo(position.index);
    this.#recordMemberships(this.range(position.index + 1, this.lastIndex));
    this.#commitIndex = position.index;
    this.#syncedIndex = Math.max(position.index, Math.min(this.#syncedIndex, this.lastIndex));
    return true;
  }

  /** Appends missing entries and drops local ones that conflict with them. */
  #merge(entries: readonly LogEntry[]): void {
    const firstNew = entries.findIndex((entry) => this.termAt(entry.index) !== entry.term);
    if (firstNew < 0) return;
    const added = entries.slice(firstNew);
    const [first] = added;
    if (first !== undefined && first.index <= this.lastIndex) {
      this.#entries.truncateFrom(first.index);
      this.#syncedIndex = Math.min(this.#syncedIndex, first.index - 1);
      this.#memberships.truncateFrom(first.index);
      this.#outbox.truncateFrom(first.index);
    }
    this.#append(added);
  }

  #append(entries: readonly LogEntry[]): void {
    this.#entries.append(entries);
    this.#recordMemberships(entries);
    this.#outbox.addEntries(entries);
  }

  #recordMemberships(entries: readonly LogEntry[]): void {
    for (const { index, membership } of entries) {
      if (membership !== undefined) this.#memberships.add(index, membership);
    }
  }
}

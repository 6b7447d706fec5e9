import { EntryList, LOG_START, type LogPosition } from './entries';
import { type Membership, MembershipHistory, NO_MEMBERS } from './membership';
import type { AppendRequest, LogEntry } from './messages';
import type { Outbox } from './outbox';

/** What a snapshot says of the log that it stands for. */
export interface SnapshotHead {
  readonly position: LogPosition;
  readonly membership: Membership;
}

/** What a member's log starts from. */
export interface MemberLogOptions {
  /** What a snapshot covers, and the membership in force there. */
  readonly base?: LogPosition;
  readonly membership?: Membership;
  /** Entries behind the base. */
  readonly entries?: readonly LogEntry[];
}

/** What the driver of a member does with its log itself. */
export type SnapshottedLog = Pick<
  MemberLog,
  'base' | 'range' | 'headAt' | 'entriesBehind' | 'install' | 'compactTo'
>;

/**
 * The log of one member: its entries, the memberships they bring, and how far it is synced and
 * committed. What has to be written goes to the outbox.
 */
export class MemberLog {
  readonly #outbox: Outbox;
  readonly #entries: EntryList;
  readonly #memberships: MembershipHistory;
  #commitIndex: number;
  #syncedIndex: number;

  constructor(options: MemberLogOptions, outbox: Outbox) {
    const { base = LOG_START, membership = NO_MEMBERS, entries = [] } = options;
    this.#outbox = outbox;
    this.#entries = new EntryList(base, entries);
    this.#memberships = new MembershipHistory(base.index, membership);
    this.#noteMemberships(entries);
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

  /** Position up to which entries were dropped. */
  get base(): LogPosition {
    return this.#entries.base;
  }

  /** The membership in force, which may not be committed yet. */
  get membership(): Membership {
    return this.#memberships.current;
  }

  /** Whether the membership in force is committed. */
  get isMembershipCommitted(): boolean {
    return this.#memberships.changedAt <= this.#commitIndex;
  }

  /** Whether it holds nothing: no entry, no snapshot and no membership. */
  get isNew(): boolean {
    return this.lastIndex === 0 && this.membership.voters.length === 0;
  }

  /** Term of the entry at `index`; -1 where it is not known. */
  termAt(index: number): number {
    return this.#entries.termAt(index);
  }

  /** Entries from `first` to `last`, both included, `limit` at most. */
  range(first: number, last: number, limit?: number): readonly LogEntry[] {
    return this.#entries.range(first, last, limit);
  }

  /** Whether a log that ends at this position holds all that this one does. */
  isCoveredBy({ index, term }: LogPosition): boolean {
    return term > this.lastTerm || (term === this.lastTerm && index >= this.lastIndex);
  }

  /** Takes the first membership of a log that nobody has founded yet. */
  found(membership: Membership): void {
    this.#memberships.add(0, membership);
    this.#outbox.foundedBy(membership);
  }

  /** Adds an entry of a leader's own; returns its index. */
  add(term: number, content: Pick<LogEntry, 'command' | 'membership'>): number {
    const entry = { index: this.lastIndex + 1, term, ...content };
    this.#append([entry]);
    return entry.index;
  }

  /** Index from which a leader's append should be tried again; nothing if it fits. */
  findRetryIndex({ previousIndex, previousTerm }: AppendRequest): number | undefined {
    const { index: baseIndex } = this.base;
    if (previousIndex < baseIndex || this.termAt(previousIndex) === previousTerm) return undefined;
    const retry = Math.min(previousIndex - 1, this.lastIndex);
    const from = retry > baseIndex ? this.#entries.startOfTerm(retry) - 1 : baseIndex;
    return Math.max(from, Math.min(this.#commitIndex, retry));
  }

  /** Takes a leader's append that fits; returns the last index known equal to the leader's log. */
  follow({ previousIndex, entries, commitIndex }: AppendRequest): number {
    const { index: baseIndex } = this.base;
    // What the base covers was committed, so the leader's log holds the same.
    this.#merge(entries.filter((entry) => entry.index > baseIndex));
    const matchIndex = Math.max(baseIndex, previousIndex + entries.length);
    this.#commitIndex = Math.max(this.#commitIndex, Math.min(commitIndex, matchIndex));
    return matchIndex;
  }

  /** Tells that the log up to the entry with this index and term is synced; returns whether it is. */
  noteSynced(index: number, term: number): boolean {
    if (this.termAt(index) !== term) return false;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
    return true;
  }

  /** Commits up to an index that a quorum holds; only entries of the leader's own term count. */
  commitTo(index: number, term: number): boolean {
    if (index <= this.#commitIndex || this.termAt(index) !== term) return false;
    this.#commitIndex = index;
    return true;
  }

  /** Drops the entries up to an applied index, which a snapshot covers now. */
  compactTo(index: number): void {
    this.#memberships.compactTo(index);
    this.#entries.compactTo({ index, term: this.termAt(index) });
  }

  /** What a snapshot of the state at an index says of the log; the entry must still be known. */
  headAt(index: number): SnapshotHead {
    const position = { index, term: this.termAt(index) };
    return { position, membership: this.#memberships.at(index) };
  }

  /** Entries that stay behind a snapshot: those that follow the position it covers, if it is here. */
  entriesBehind({ index, term }: LogPosition): readonly LogEntry[] {
    return this.termAt(index) === term ? this.range(index + 1, this.lastIndex) : [];
  }

  /** Takes a leader's snapshot in place of the entries it covers; returns whether it was newer. */
  install({ position, membership }: SnapshotHead): boolean {
    if (position.index <= this.#commitIndex) return false;
    this.#entries.compactTo(position);
    this.#memberships.truncateFrom(position.index + 1);
    this.#memberships.add(position.index, membership);
    this.#memberships.compactTo(position.index);
    this.#noteMemberships(this.range(position.index + 1, this.lastIndex));
    this.#commitIndex = position.index;
    this.#syncedIndex = Math.max(position.index, Math.min(this.#syncedIndex, this.lastIndex));
    return true;
  }

  /** Adds the entries that are missing, dropping own ones that contradict them. */
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
    this.#noteMemberships(entries);
    this.#outbox.addEntries(entries);
  }

  #noteMemberships(entries: readonly LogEntry[]): void {
    for (const { index, membership } of entries) {
      if (membership !== undefined) this.#memberships.add(index, membership);
    }
  }
}

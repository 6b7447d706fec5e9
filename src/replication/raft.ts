/* eslint-disable max-lines -- one protocol, whose rules are easier to check when they stand together */
import type { RandomSource } from '../core';
import { EntryList, LOG_START, type LogPosition } from './entries';
import { type Membership, MembershipHistory, NO_MEMBERS, quorumOf } from './membership';
import { Outbox, type RaftOutput } from './outbox';
import { type Progress, ProgressTable } from './progress';
import type {
  AppendAnswer,
  AppendRequest,
  CampaignNow,
  HardState,
  LogEntry,
  RaftMessage,
  SnapshotAnswer,
  SnapshotPart,
  VoteAnswer,
  VoteRequest,
} from './messages';

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** How a member is set up; times in milliseconds. */
export interface RaftOptions {
  /** Identity of this member. */
  readonly self: string;
  readonly random: RandomSource;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  readonly hardState?: HardState;
  /** What a snapshot covers, and the membership in force there. */
  readonly base?: LogPosition;
  readonly membership?: Membership;
  /** Entries behind the base. */
  readonly entries?: readonly LogEntry[];
}

/** What a snapshot says of the log that it stands for. */
export interface SnapshotHead {
  readonly position: LogPosition;
  readonly membership: Membership;
}

const ENTRIES_PER_MESSAGE = 256;

/** Random part of the wait before an election, as a share of the election time. */
const ELECTION_SPREAD = 0.5;

/** Shortest wait before an election is tried again, as a share of the election time. */
const RETRY_SHARE = 0.2;

/** Silence of all leaders, in election times, after which a member may have been removed. */
const LEADERLESS_ELECTION_TIMES = 3;

/** Share of the shortest election time that a read lease lasts; the rest covers clock drift. */
const LEASE_SHARE = 0.8;

/**
 * One member of a replicated log: Raft with pre-vote, check-quorum and leadership transfer, as a
 * pure state machine. It does no input or output and reads no clock; the driver passes monotonic
 * time in, and carries out what {@link takeOutput} returns.
 */
export class RaftMember {
  readonly #self: string;
  readonly #random: RandomSource;
  readonly #heartbeat: number;
  readonly #election: number;
  readonly #log: EntryList;
  readonly #memberships: MembershipHistory;
  readonly #progress: ProgressTable;
  readonly #votes = new Set<string>();

  #term: number;
  #votedFor: string | undefined;
  #role: RaftRole = 'follower';
  #leader: string | undefined;
  #commitIndex = 0;
  #syncedIndex: number;
  #electionDue = 0;
  #heartbeatDue = 0;
  #leaderHeardAt = -Infinity;
  #leaderSince = 0;
  #firstOwnIndex = 0;
  #transferring = false;
  #transferredAt = 0;
  /** The membership without this member is committed; it steps down once its peers know. */
  #removed = false;

  readonly #outbox = new Outbox();

  constructor(options: RaftOptions) {
    const { heartbeatMilliseconds = 100, electionMilliseconds = 500 } = options;
    const { base = LOG_START, membership = NO_MEMBERS, entries = [] } = options;
    this.#self = options.self;
    this.#progress = new ProgressTable(options.self);
    this.#random = options.random;
    this.#heartbeat = heartbeatMilliseconds;
    this.#election = electionMilliseconds;
    this.#log = new EntryList(base, entries);
    this.#memberships = new MembershipHistory(base.index, membership);
    this.#noteMemberships(entries);
    this.#commitIndex = base.index;
    this.#syncedIndex = this.#log.lastIndex;
    this.#term = options.hardState?.term ?? 0;
    this.#votedFor = options.hardState?.votedFor;
  }

  get role(): RaftRole {
    return this.#role;
  }

  get term(): number {
    return this.#term;
  }

  get leader(): string | undefined {
    return this.#leader;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  get lastTerm(): number {
    return this.#log.lastTerm;
  }

  /** Position up to which entries were dropped. */
  get base(): LogPosition {
    return this.#log.base;
  }

  /** The membership in force, which may not be committed yet. */
  get membership(): Membership {
    return this.#memberships.current;
  }

  /** Whether it holds nothing: no entry, no snapshot and no membership. */
  get isNew(): boolean {
    return this.#log.lastIndex === 0 && this.membership.voters.length === 0;
  }

  /** Whether no leader was heard, or known to follow, for a few election times. */
  isLeaderless(now: number): boolean {
    const silence = this.#election * LEADERLESS_ELECTION_TIMES;
    return this.#role !== 'leader' && now - this.#leaderHeardAt > silence;
  }

  get hardState(): HardState {
    return { term: this.#term, votedFor: this.#votedFor };
  }

  /** What a leader knows of its peers. */
  get peers(): ReadonlyMap<string, Readonly<Progress>> {
    return this.#progress.peers;
  }

  /** Whether this leader has committed an entry of its own term, so that its state is current. */
  get ready(): boolean {
    return this.#role === 'leader' && this.#commitIndex >= this.#firstOwnIndex;
  }

  /** Monotonic time since which this member leads. */
  get leaderSince(): number {
    return this.#leaderSince;
  }

  /** Entries from `first` to `last`, both included. */
  entriesBetween(first: number, last: number): readonly LogEntry[] {
    return this.#log.range(first, last);
  }

  /**
   * Whether reads at this leader are linearizable now: a quorum answered messages sent so lately
   * that no other member can have been elected, allowing for clock drift.
   */
  hasReadLease(now: number): boolean {
    return (
      this.ready &&
      !this.#transferring &&
      this.#progress.quorumAnsweredAt(now) + this.#election * LEASE_SHARE > now
    );
  }

  /**
   * Starts the timers; the first election is due after a random wait. A member grants no vote for
   * one election time after its start, since it may have promised a leader's lease before.
   */
  start(now: number): void {
    this.#leaderHeardAt = now;
    this.#resetElection(now);
    this.#campaignAlone(now);
  }

  /**
   * Founds the log: the first membership, of hosts that all have nothing yet. Every founder must
   * name the same voters.
   */
  found(membership: Membership, now: number): void {
    if (!this.isNew) return;
    this.#memberships.add(0, membership);
    this.#outbox.foundedBy(membership);
    this.#campaignAlone(now);
  }

  /** To be called at least every heartbeat time. */
  tick(now: number): void {
    if (this.#role !== 'leader') {
      if (now >= this.#electionDue && this.#isVoter) this.#campaign(now, true, false);
      return;
    }
    const silence = now - this.#progress.quorumAnsweredAt(now);
    const overdue = this.#transferring && now - this.#transferredAt > this.#election;
    if (this.#removed) {
      this.#broadcast(now, true);
      this.#becomeFollower(this.#term, undefined, now);
      return;
    }
    if (silence > this.#election * 2 || overdue) {
      this.#becomeFollower(this.#term, undefined, now);
      return;
    }
    if (now >= this.#heartbeatDue) this.#broadcast(now, true);
  }

  /** Adds a command; returns its index, or nothing when this member does not lead. */
  propose(command: string, now: number): number | undefined {
    if (this.#role !== 'leader' || this.#transferring) return undefined;
    const index = this.#appendOwn({ command });
    this.#broadcast(now, false);
    return index;
  }

  /**
   * Whether this leader may change the membership: one change at a time, and none before an entry
   * of its own term is committed (Ongaro's correction of single-server changes).
   */
  get mayChangeMembership(): boolean {
    return this.ready && !this.#transferring && this.#memberships.changedAt <= this.#commitIndex;
  }

  /** Changes the membership by one member; returns whether this member may do so now. */
  changeMembership(membership: Membership, now: number): boolean {
    if (!this.mayChangeMembership) return false;
    this.#appendOwn({ command: '', membership });
    this.#progress.follow(this.membership, this.#log.lastIndex, -Infinity);
    this.#broadcast(now, true);
    return true;
  }

  /** Drops the entries up to an applied index, which a snapshot covers now. */
  compactTo(index: number): void {
    this.#memberships.compactTo(index);
    this.#log.compactTo({ index, term: this.#log.termAt(index) });
  }

  /** What a snapshot of the state at an index says of the log; the entry must still be known. */
  headAt(index: number): SnapshotHead {
    const position = { index, term: this.#log.termAt(index) };
    return { position, membership: this.#memberships.at(index) };
  }

  /** Entries that stay behind a snapshot: those that follow the position it covers, if it is here. */
  entriesBehind({ index, term }: LogPosition): readonly LogEntry[] {
    return this.#log.termAt(index) === term ? this.#log.range(index + 1, this.#log.lastIndex) : [];
  }

  /** Takes a leader's snapshot in place of the entries it covers; returns whether it was newer. */
  install({ position, membership }: SnapshotHead): boolean {
    if (position.index <= this.#commitIndex) return false;
    this.#log.compactTo(position);
    this.#memberships.truncateFrom(position.index + 1);
    this.#memberships.add(position.index, membership);
    this.#memberships.compactTo(position.index);
    this.#noteMemberships(this.#log.range(position.index + 1, this.#log.lastIndex));
    this.#commitIndex = position.index;
    this.#syncedIndex = Math.max(position.index, Math.min(this.#syncedIndex, this.#log.lastIndex));
    return true;
  }

  /** Tells that the log up to the entry with this index and term is synced. */
  synced(index: number, term: number): void {
    if (this.#log.termAt(index) !== term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
    if (this.#role === 'leader') this.#advanceCommit();
  }

  /** Hands leadership to a peer: the voter that is furthest along unless one is named. */
  transferLeadership(now: number, to?: string): void {
    if (this.#role !== 'leader') return;
    const [furthest] = this.#progress.furthest() ?? [];
    const peer = to ?? furthest;
    const progress = this.#progress.get(peer ?? '');
    if (peer === undefined || progress === undefined) return;
    if (progress.matchIndex < this.#log.lastIndex) {
      this.#sendAppend(peer, progress, now);
      return;
    }
    if (!this.#transferring) this.#transferredAt = now;
    this.#transferring = true;
    this.#outbox.send(peer, { kind: 'campaign-now', term: this.#term, from: this.#self });
  }

  /** Tells that a snapshot for a peer came to nothing, so that another one is made. */
  snapshotFailed(peer: string): void {
    const progress = this.#progress.get(peer);
    if (progress !== undefined) progress.installing = false;
  }

  receive(message: RaftMessage, now: number): void {
    if (message.term > this.#term && this.#followsTerm(message, now)) {
      const leads = message.kind === 'append' || message.kind === 'snapshot-part';
      const leader = leads ? message.from : undefined;
      this.#becomeFollower(message.term, leader, now);
    }
    switch (message.kind) {
      case 'vote-request':
        this.#onVoteRequest(message, now);
        return;
      case 'vote-answer':
        this.#onVoteAnswer(message, now);
        return;
      case 'append':
        this.#onAppend(message, now);
        return;
      case 'append-answer':
        this.#onAppendAnswer(message, now);
        return;
      case 'campaign-now':
        this.#onCampaignNow(message, now);
        return;
      case 'snapshot-part':
        this.#hearLeader(message, now);
        return;
      case 'snapshot-answer':
        this.#hearPeer(message);
    }
  }

  /** Returns what is to be done since the last call. */
  takeOutput(): RaftOutput {
    return this.#outbox.take(this.hardState);
  }

  /** A pre-vote and its refusal carry terms that nobody has entered yet. */
  #followsTerm(message: RaftMessage, now: number): boolean {
    if (message.kind === 'vote-request') {
      return !message.preVote && !this.#leaderStands(message, now);
    }
    return !(message.kind === 'vote-answer' && message.preVote && message.granted);
  }

  /** Whether a live leader speaks against an election that it did not ask for. */
  #leaderStands(request: VoteRequest, now: number): boolean {
    return !request.transfer && now - this.#leaderHeardAt < this.#election;
  }

  #onVoteRequest(request: VoteRequest, now: number): void {
    const upToDate =
      request.lastTerm > this.#log.lastTerm ||
      (request.lastTerm === this.#log.lastTerm && request.lastIndex >= this.#log.lastIndex);
    const free = request.preVote
      ? request.term > this.#term
      : request.term === this.#term &&
        (this.#votedFor === undefined || this.#votedFor === request.from);
    const leading = this.#role === 'leader' && !this.#transferring;
    const granted = upToDate && free && !leading && !this.#leaderStands(request, now);
    if (granted && !request.preVote) {
      this.#votedFor = request.from;
      this.#outbox.hardStateChanged();
      this.#resetElection(now);
    }
    const term = granted && request.preVote ? request.term : this.#term;
    this.#outbox.sendAfterSync(request.from, {
      kind: 'vote-answer',
      preVote: request.preVote,
      term,
      from: this.#self,
      granted,
    });
  }

  #onVoteAnswer(answer: VoteAnswer, now: number): void {
    const expected = answer.preVote ? 'pre-candidate' : 'candidate';
    const term = answer.preVote ? this.#term + 1 : this.#term;
    if (this.#role !== expected || !answer.granted || answer.term !== term) return;
    this.#votes.add(answer.from);
    this.#countVotes(now);
  }

  #onAppend(append: AppendRequest, now: number): void {
    if (append.term < this.#term) {
      this.#answerAppend(append, false, this.#log.lastIndex);
      return;
    }
    this.#hearLeader(append, now);
    const { index: baseIndex } = this.#log.base;
    if (append.previousIndex >= baseIndex && !this.#matches(append)) {
      const retry = Math.min(append.previousIndex - 1, this.#log.lastIndex);
      const from = retry > baseIndex ? this.#log.startOfTerm(retry) - 1 : baseIndex;
      this.#answerAppend(append, false, Math.max(from, Math.min(this.#commitIndex, retry)));
      return;
    }
    // What the base covers was committed, so the leader's log holds the same.
    this.#merge(append.entries.filter((entry) => entry.index > baseIndex));
    const matchIndex = Math.max(baseIndex, append.previousIndex + append.entries.length);
    this.#commitIndex = Math.max(this.#commitIndex, Math.min(append.commitIndex, matchIndex));
    this.#answerAppend(append, true, matchIndex);
  }

  #matches(append: AppendRequest): boolean {
    return this.#log.termAt(append.previousIndex) === append.previousTerm;
  }

  /** Follows whoever leads the present term. */
  #hearLeader(message: AppendRequest | SnapshotPart, now: number): void {
    if (message.term < this.#term) return;
    if (this.#role !== 'follower') this.#becomeFollower(message.term, message.from, now);
    this.#leader = message.from;
    this.#leaderHeardAt = now;
    this.#resetElection(now);
  }

  /** Notes an answer; returns what is known of the peer if it answers this leader. */
  #hearPeer(answer: AppendAnswer | SnapshotAnswer): Progress | undefined {
    const progress = this.#progress.get(answer.from);
    if (this.#role !== 'leader' || answer.term !== this.#term || progress === undefined) {
      return undefined;
    }
    progress.answeredAt = Math.max(progress.answeredAt, answer.sentAt);
    return progress;
  }

  #answerAppend(append: AppendRequest, success: boolean, matchIndex: number): void {
    const answer = {
      kind: 'append-answer',
      term: this.#term,
      from: this.#self,
      success,
      matchIndex,
      sentAt: append.sentAt,
    } as const;
    const rests = success && matchIndex > this.#syncedIndex;
    if (rests || append.entries.length > 0) this.#outbox.sendAfterSync(append.from, answer);
    else this.#outbox.send(append.from, answer);
  }

  /** Adds the entries that are missing, dropping own ones that contradict them. */
  #merge(entries: readonly LogEntry[]): void {
    const firstNew = entries.findIndex((entry) => this.#log.termAt(entry.index) !== entry.term);
    if (firstNew < 0) return;
    const added = entries.slice(firstNew);
    const [first] = added;
    if (first !== undefined && first.index <= this.#log.lastIndex) {
      this.#log.truncateFrom(first.index);
      this.#syncedIndex = Math.min(this.#syncedIndex, first.index - 1);
      this.#memberships.truncateFrom(first.index);
      this.#outbox.truncateFrom(first.index);
    }
    this.#log.append(added);
    this.#noteMemberships(added);
    this.#outbox.addEntries(added);
  }

  #noteMemberships(entries: readonly LogEntry[]): void {
    for (const { index, membership } of entries) {
      if (membership !== undefined) this.#memberships.add(index, membership);
    }
  }

  #onAppendAnswer(answer: AppendAnswer, now: number): void {
    const progress = this.#hearPeer(answer);
    if (progress === undefined) return;
    progress.inFlight = false;
    if (answer.success) {
      progress.installing = false;
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      this.#advanceCommit();
    } else {
      progress.nextIndex = Math.max(progress.matchIndex + 1, answer.matchIndex + 1);
    }
    const more = progress.nextIndex <= this.#log.lastIndex;
    if (more && !progress.installing) this.#sendAppend(answer.from, progress, now);
  }

  #onCampaignNow(message: CampaignNow, now: number): void {
    const follows = message.term === this.#term && this.#role === 'follower';
    if (follows && this.#isVoter) this.#campaign(now, false, true);
  }

  #campaign(now: number, preVote: boolean, transfer: boolean): void {
    this.#resetRetry(now);
    this.#leader = undefined;
    this.#votes.clear();
    this.#votes.add(this.#self);
    if (preVote) {
      this.#role = 'pre-candidate';
    } else {
      this.#role = 'candidate';
      this.#term += 1;
      this.#votedFor = this.#self;
      this.#outbox.hardStateChanged();
    }
    for (const peer of this.membership.voters) {
      if (peer === this.#self) continue;
      this.#outbox.sendAfterSync(peer, {
        kind: 'vote-request',
        preVote,
        term: preVote ? this.#term + 1 : this.#term,
        from: this.#self,
        lastIndex: this.#log.lastIndex,
        lastTerm: this.#log.lastTerm,
        transfer,
      });
    }
    this.#countVotes(now);
  }

  get #isVoter(): boolean {
    return this.membership.voters.includes(this.#self);
  }

  /** The only voter need not wait for others. */
  #campaignAlone(now: number): void {
    if (this.#isVoter && this.membership.voters.length === 1) this.#campaign(now, false, false);
  }

  #countVotes(now: number): void {
    const votes = this.membership.voters.filter((voter) => this.#votes.has(voter));
    if (votes.length < quorumOf(this.membership)) return;
    if (this.#role === 'pre-candidate') this.#campaign(now, false, false);
    else this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#role = 'leader';
    this.#leader = this.#self;
    this.#leaderSince = now;
    this.#transferring = false;
    this.#progress.clear();
    this.#progress.follow(this.membership, this.#log.lastIndex, now);
    const first = this.#log.lastIndex === 0;
    this.#firstOwnIndex = this.#appendOwn({
      command: '',
      ...(first ? { membership: this.membership } : {}),
    });
    this.#broadcast(now, true);
  }

  #becomeFollower(term: number, leader: string | undefined, now: number): void {
    if (term > this.#term) {
      this.#term = term;
      this.#votedFor = undefined;
      this.#outbox.hardStateChanged();
    }
    this.#role = 'follower';
    this.#leader = leader;
    this.#removed = false;
    this.#transferring = false;
    this.#progress.clear();
    this.#resetElection(now);
  }

  #appendOwn(content: Pick<LogEntry, 'command' | 'membership'>): number {
    const entry = { index: this.#log.lastIndex + 1, term: this.#term, ...content };
    this.#log.append([entry]);
    this.#noteMemberships([entry]);
    this.#outbox.addEntries([entry]);
    return entry.index;
  }

  #broadcast(now: number, heartbeat: boolean): void {
    if (heartbeat) this.#heartbeatDue = now + this.#heartbeat;
    for (const [peer, progress] of this.#progress.peers) {
      const free = !progress.inFlight && !progress.installing;
      if (heartbeat || free) this.#sendAppend(peer, progress, now);
    }
  }

  /** A lost append is repeated with the next heartbeat, from the last index known equal. */
  #sendAppend(peer: string, progress: Progress, now: number): void {
    const dropped = progress.nextIndex <= this.#log.base.index;
    if (dropped && !progress.installing) {
      progress.installing = true;
      this.#outbox.needsSnapshot(peer);
    }
    const previousIndex = dropped ? this.#log.lastIndex : progress.nextIndex - 1;
    const entries = dropped
      ? []
      : this.#log.range(progress.nextIndex, this.#log.lastIndex, ENTRIES_PER_MESSAGE);
    progress.inFlight = entries.length > 0;
    this.#outbox.send(peer, {
      kind: 'append',
      term: this.#term,
      from: this.#self,
      previousIndex,
      previousTerm: this.#log.termAt(previousIndex),
      entries,
      commitIndex: this.#commitIndex,
      sentAt: now,
    });
  }

  #advanceCommit(): void {
    const candidate = this.#progress.quorumMatch(this.#syncedIndex);
    if (candidate <= this.#commitIndex || this.#log.termAt(candidate) !== this.#term) return;
    this.#commitIndex = candidate;
    const removed = this.#memberships.changedAt <= candidate && !this.#isVoter;
    if (removed) this.#removed = true;
  }

  #resetElection(now: number): void {
    this.#electionDue = now + this.#election * (1 + ELECTION_SPREAD * this.#random.fraction());
  }

  /** An election that failed because two members stood at once is tried again soon. */
  #resetRetry(now: number): void {
    const share = RETRY_SHARE + ELECTION_SPREAD * this.#random.fraction();
    this.#electionDue = now + this.#election * share;
  }
}

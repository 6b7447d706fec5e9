/* eslint-disable max-lines -- one protocol, whose rules are easier to check when they stand together */
import type { RandomSource } from '../core';
import { EntryList } from './entries';
import { Outbox, type RaftOutput } from './outbox';
import { type Progress, ProgressTable } from './progress';
import type {
  AppendAnswer,
  AppendRequest,
  CampaignNow,
  HardState,
  LogEntry,
  RaftMessage,
  VoteAnswer,
  VoteRequest,
} from './messages';

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** How a member is set up; times in milliseconds. */
export interface RaftOptions {
  readonly self: string;
  /** All members, this one included. */
  readonly members: readonly string[];
  readonly random: RandomSource;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  readonly hardState?: HardState;
  readonly entries?: readonly LogEntry[];
}

const ENTRIES_PER_MESSAGE = 256;

/** Share of the shortest election time that a read lease lasts; the rest covers clock drift. */
const LEASE_SHARE = 0.8;

/**
 * One member of a replicated log: Raft with pre-vote, check-quorum and leadership transfer, as a
 * pure state machine. It does no input or output and reads no clock; the driver passes monotonic
 * time in, and carries out what {@link takeOutput} returns.
 */
export class RaftMember {
  readonly #self: string;
  readonly #peers: readonly string[];
  readonly #quorum: number;
  readonly #random: RandomSource;
  readonly #heartbeat: number;
  readonly #election: number;
  readonly #log: EntryList;
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

  readonly #outbox = new Outbox();

  constructor(options: RaftOptions) {
    const { heartbeatMilliseconds = 100, electionMilliseconds = 500, entries = [] } = options;
    this.#self = options.self;
    this.#peers = options.members.filter((member) => member !== options.self);
    this.#quorum = Math.floor(options.members.length / 2) + 1;
    this.#progress = new ProgressTable(this.#quorum);
    this.#random = options.random;
    this.#heartbeat = heartbeatMilliseconds;
    this.#election = electionMilliseconds;
    this.#log = new EntryList(entries);
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
    if (this.#peers.length === 0) this.#campaign(now, false, false);
  }

  /** To be called at least every heartbeat time. */
  tick(now: number): void {
    if (this.#role !== 'leader') {
      if (now >= this.#electionDue) this.#campaign(now, true, false);
      return;
    }
    const silence = now - this.#progress.quorumAnsweredAt(now);
    const overdue = this.#transferring && now - this.#transferredAt > this.#election;
    if (silence > this.#election * 2 || overdue) {
      this.#becomeFollower(this.#term, undefined, now);
      return;
    }
    if (now >= this.#heartbeatDue) this.#broadcast(now, true);
  }

  /** Adds a command; returns its index, or nothing when this member does not lead. */
  propose(command: string, now: number): number | undefined {
    if (this.#role !== 'leader' || this.#transferring) return undefined;
    const index = this.#appendOwn(command);
    this.#broadcast(now, false);
    return index;
  }

  /** Tells that the log up to the entry with this index and term is synced. */
  synced(index: number, term: number): void {
    if (this.#log.termAt(index) !== term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
    if (this.#role === 'leader') this.#advanceCommit();
  }

  /** Hands leadership to the peer that is furthest along; used before a planned stop. */
  transferLeadership(now: number): void {
    if (this.#role !== 'leader' || this.#peers.length === 0) return;
    const [peer, progress] = this.#progress.furthest() ?? [];
    if (peer === undefined || progress === undefined) return;
    if (progress.matchIndex < this.#log.lastIndex) {
      this.#sendAppend(peer, progress, now);
      return;
    }
    this.#transferring = true;
    this.#transferredAt = now;
    this.#outbox.send(peer, { kind: 'campaign-now', term: this.#term, from: this.#self });
  }

  receive(message: RaftMessage, now: number): void {
    if (message.term > this.#term && this.#followsTerm(message, now)) {
      const leader = message.kind === 'append' ? message.from : undefined;
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
    }
  }

  /** Returns what is to be done since the last call. */
  takeOutput(): RaftOutput {
    return this.#outbox.take({ term: this.#term, votedFor: this.#votedFor });
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
    if (this.#role !== 'follower') this.#becomeFollower(append.term, append.from, now);
    this.#leader = append.from;
    this.#leaderHeardAt = now;
    this.#resetElection(now);
    if (this.#log.termAt(append.previousIndex) !== append.previousTerm) {
      const retry = Math.min(append.previousIndex - 1, this.#log.lastIndex);
      const from = retry > 0 ? this.#log.startOfTerm(retry) - 1 : 0;
      this.#answerAppend(append, false, Math.max(from, Math.min(this.#commitIndex, retry)));
      return;
    }
    this.#merge(append.entries);
    const matchIndex = append.previousIndex + append.entries.length;
    this.#commitIndex = Math.max(this.#commitIndex, Math.min(append.commitIndex, matchIndex));
    this.#answerAppend(append, true, matchIndex);
  }

  #answerAppend(append: AppendRequest, success: boolean, matchIndex: number): void {
    this.#outbox.sendAfterSync(append.from, {
      kind: 'append-answer',
      term: this.#term,
      from: this.#self,
      success,
      matchIndex,
      sentAt: append.sentAt,
    });
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
      this.#outbox.truncateFrom(first.index);
    }
    this.#log.append(added);
    this.#outbox.addEntries(added);
  }

  #onAppendAnswer(answer: AppendAnswer, now: number): void {
    const progress = this.#progress.get(answer.from);
    if (this.#role !== 'leader' || answer.term !== this.#term || progress === undefined) return;
    progress.answeredAt = Math.max(progress.answeredAt, answer.sentAt);
    progress.inFlight = false;
    if (answer.success) {
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      this.#advanceCommit();
    } else {
      progress.nextIndex = Math.max(progress.matchIndex + 1, answer.matchIndex + 1);
    }
    if (progress.nextIndex <= this.#log.lastIndex) this.#sendAppend(answer.from, progress, now);
  }

  #onCampaignNow(message: CampaignNow, now: number): void {
    if (message.term === this.#term && this.#role === 'follower') this.#campaign(now, false, true);
  }

  #campaign(now: number, preVote: boolean, transfer: boolean): void {
    this.#resetElection(now);
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
    for (const peer of this.#peers) {
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

  #countVotes(now: number): void {
    if (this.#votes.size < this.#quorum) return;
    if (this.#role === 'pre-candidate') this.#campaign(now, false, false);
    else this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#role = 'leader';
    this.#leader = this.#self;
    this.#leaderSince = now;
    this.#transferring = false;
    this.#progress.reset(this.#peers, this.#log.lastIndex, now);
    this.#firstOwnIndex = this.#appendOwn('');
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
    this.#transferring = false;
    this.#progress.clear();
    this.#resetElection(now);
  }

  #appendOwn(command: string): number {
    const entry = { index: this.#log.lastIndex + 1, term: this.#term, command };
    this.#log.append([entry]);
    this.#outbox.addEntries([entry]);
    return entry.index;
  }

  #broadcast(now: number, heartbeat: boolean): void {
    if (heartbeat) this.#heartbeatDue = now + this.#heartbeat;
    for (const [peer, progress] of this.#progress.peers) {
      if (heartbeat || !progress.inFlight) this.#sendAppend(peer, progress, now);
    }
  }

  /** A lost append is repeated with the next heartbeat, from the last index known equal. */
  #sendAppend(peer: string, progress: Progress, now: number): void {
    const previousIndex = progress.nextIndex - 1;
    const entries = this.#log.range(progress.nextIndex, this.#log.lastIndex, ENTRIES_PER_MESSAGE);
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
  }

  #resetElection(now: number): void {
    this.#electionDue = now + this.#election * (1 + this.#random.fraction());
  }
}

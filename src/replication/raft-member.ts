import { ElectionState, type CampaignKind } from './election-state';
import { ElectionTimer } from './election-timer';
import { RaftLog, type CompactableLog } from './raft-log';
import type { Membership } from './membership';
import { Outbox, type RaftOutput } from './outbox';
import type { PeerProgress } from './progress';
import type {
  AppendAnswer,
  AppendRequest,
  CampaignNow,
  HardState,
  RaftMessage,
  SnapshotAnswer,
  SnapshotPart,
  VoteAnswer,
  VoteRequest,
} from './messages';
import type { RaftOptions, RaftRole } from './raft-options';
import { Replicator } from './replicator';

const PRE_VOTE: CampaignKind = { preVote: true, transfer: false };
const ELECTION: CampaignKind = { preVote: false, transfer: false };
const LEADERSHIP_TRANSFER: CampaignKind = { preVote: false, transfer: true };

/** Election timeouts without answers of a quorum after which a leader steps down. */
const CHECK_QUORUM_ELECTION_TIMEOUTS = 2;

/**
 * One member of a replicated log: Raft with pre-vote, check-quorum and leadership transfer, as a
 * state machine without I/O or a clock. The driver passes in monotonic milliseconds and carries out
 * the output of {@link takeOutput}.
 */
export class RaftMember {
  readonly #self: string;
  readonly #electionTimer: ElectionTimer;
  readonly #outbox = new Outbox();
  readonly #log: RaftLog;
  readonly #replicator: Replicator;
  readonly #election: ElectionState;

  #role: RaftRole = 'follower';
  #leader: string | undefined;
  #leaderSince = 0;
  #termStartIndex = 0;
  #transferring = false;
  #transferStartedAt = 0;
  /** A membership without this member is committed; it steps down after one more heartbeat. */
  #removed = false;

  constructor(options: RaftOptions) {
    const { self, random, hardState } = options;
    const { heartbeatMilliseconds = 100, electionMilliseconds = 500 } = options;
    this.#self = self;
    this.#electionTimer = new ElectionTimer(electionMilliseconds, random);
    this.#log = new RaftLog(options, this.#outbox);
    this.#replicator = new Replicator({
      self,
      log: this.#log,
      outbox: this.#outbox,
      heartbeatMilliseconds,
    });
    this.#election = new ElectionState(self, this.#outbox, hardState);
  }

  get role(): RaftRole {
    return this.#role;
  }

  get term(): number {
    return this.#election.term;
  }

  get leader(): string | undefined {
    return this.#leader;
  }

  get commitIndex(): number {
    return this.#log.commitIndex;
  }

  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  get lastTerm(): number {
    return this.#log.lastTerm;
  }

  get log(): CompactableLog {
    return this.#log;
  }

  /** The membership in effect, which may not be committed yet. */
  get membership(): Membership {
    return this.#log.membership;
  }

  /** Whether the log has no entry, no snapshot and no membership. */
  get isNew(): boolean {
    return this.#log.isNew;
  }

  /** Whether no leader, including this member, has been known for several election timeouts. */
  isLeaderless(now: number): boolean {
    return this.#role !== 'leader' && this.#electionTimer.isLeaderless(now);
  }

  get hardState(): HardState {
    return this.#election.hardState;
  }

  /** Progress by peer; empty while this member does not lead. */
  get peers(): ReadonlyMap<string, Readonly<PeerProgress>> {
    return this.#replicator.peers;
  }

  /** Whether this leader has committed an entry of its own term, so its state is up to date. */
  get ready(): boolean {
    return this.#role === 'leader' && this.commitIndex >= this.#termStartIndex;
  }

  /** Monotonic time in milliseconds of the last election won by this member. */
  get leaderSince(): number {
    return this.#leaderSince;
  }

  /**
   * Whether reads at this leader are linearizable now: a quorum answered messages sent within the
   * read lease, so no other member can have been elected, allowing for clock drift.
   */
  hasReadLease(now: number): boolean {
    if (!this.ready || this.#transferring) return false;
    return this.#replicator.quorumAnsweredAt(now) + this.#electionTimer.readLeaseMilliseconds > now;
  }

  /**
   * Starts the election timer with a random delay. A member grants no vote for one election timeout
   * after its start, since a leader's read lease may rest on an answer given before a restart.
   */
  start(now: number): void {
    this.#electionTimer.recordLeaderContact(now);
    this.#campaignIfOnlyVoter(now);
  }

  /**
   * Sets the initial membership of a log whose hosts are all new. Every host that bootstraps the
   * log must pass the same voters.
   */
  bootstrap(membership: Membership, now: number): void {
    if (!this.isNew) return;
    this.#log.bootstrap(membership);
    this.#campaignIfOnlyVoter(now);
  }

  /** Must be called at least once per heartbeat interval. */
  tick(now: number): void {
    if (this.#role !== 'leader') {
      if (this.#electionTimer.isDue(now) && this.#isVoter) this.#campaign(now, PRE_VOTE);
      return;
    }
    if (this.#removed) {
      this.#replicator.broadcast(now, true);
      this.#becomeFollower(this.term, undefined, now);
      return;
    }
    const { electionMilliseconds } = this.#electionTimer;
    const sinceQuorumAnswer = now - this.#replicator.quorumAnsweredAt(now);
    const hasLostQuorum = sinceQuorumAnswer > electionMilliseconds * CHECK_QUORUM_ELECTION_TIMEOUTS;
    const timedOut = this.#transferring && now - this.#transferStartedAt > electionMilliseconds;
    if (hasLostQuorum || timedOut) this.#becomeFollower(this.term, undefined, now);
    else this.#replicator.sendHeartbeatIfDue(now);
  }

  /** Appends a command; returns its index, or undefined if not the leader or during a transfer. */
  propose(command: string, now: number): number | undefined {
    if (this.#role !== 'leader' || this.#transferring) return undefined;
    const index = this.#log.appendEntry(this.term, { command });
    this.#replicator.broadcast(now, false);
    return index;
  }

  /**
   * Whether this leader may change the membership: one change at a time, and none before an entry
   * of its own term is committed (Ongaro's fix for single-server changes).
   */
  get canChangeMembership(): boolean {
    return this.ready && !this.#transferring && this.#log.isMembershipCommitted;
  }

  /** Appends a membership that differs by one member; returns false if not allowed now. */
  changeMembership(membership: Membership, now: number): boolean {
    if (!this.canChangeMembership) return false;
    this.#log.appendEntry(this.term, { command: '', membership });
    this.#replicator.applyMembership();
    this.#replicator.broadcast(now, true);
    return true;
  }

  /** Records that the log is synced up to the entry with this index and term. */
  recordSynced(index: number, term: number): void {
    if (this.#log.recordSynced(index, term) && this.#role === 'leader') this.#advanceCommit();
  }

  /**
   * Transfers leadership to `to`, by default the most up-to-date voter. If that peer lacks entries,
   * sends them instead; the caller has to try again.
   */
  transferLeadership(now: number, to?: string): void {
    if (this.#role !== 'leader') return;
    const peer = to ?? this.#replicator.mostUpToDatePeer;
    if (peer === undefined || !this.peers.has(peer)) return;
    if (this.#replicator.sendMissingEntries(peer, now)) return;
    if (!this.#transferring) this.#transferStartedAt = now;
    this.#transferring = true;
    this.#outbox.send(peer, { kind: 'campaign-now', term: this.term, from: this.#self });
  }

  /** Records an aborted snapshot transfer, so that another snapshot is requested. */
  recordSnapshotFailure(peer: string): void {
    this.#replicator.recordSnapshotFailure(peer);
  }

  receive(message: RaftMessage, now: number): void {
    if (message.term > this.term && this.#adoptsTermOf(message, now)) {
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
        this.#acceptLeader(message, now);
        return;
      case 'snapshot-answer':
        if (this.#isForCurrentTerm(message)) this.#replicator.recordAnswer(message);
    }
  }

  /** Returns the work collected since the last call. */
  takeOutput(): RaftOutput {
    return this.#outbox.drain(this.hardState);
  }

  /**
   * Whether to move to the newer term of a message. Pre-vote requests and granted pre-votes carry a
   * term that no member is in yet.
   */
  #adoptsTermOf(message: RaftMessage, now: number): boolean {
    if (message.kind === 'vote-request') {
      return !message.preVote && !this.#isBlockedByLeader(message, now);
    }
    return !(message.kind === 'vote-answer' && message.preVote && message.granted);
  }

  /** Whether a recent leader, which did not request this election, prevents a vote. */
  #isBlockedByLeader(request: VoteRequest, now: number): boolean {
    return !request.transfer && this.#electionTimer.hasRecentLeader(now);
  }

  #onVoteRequest(request: VoteRequest, now: number): void {
    const granted = this.#grantsVote(request, now);
    this.#election.answerRequest(request, granted);
    if (granted && !request.preVote) this.#electionTimer.reset(now);
  }

  #grantsVote(request: VoteRequest, now: number): boolean {
    const leads = this.#role === 'leader' && !this.#transferring;
    const isUpToDate = this.#log.isCoveredBy({ index: request.lastIndex, term: request.lastTerm });
    const isFree = this.#election.canVoteFor(request);
    return isUpToDate && isFree && !leads && !this.#isBlockedByLeader(request, now);
  }

  #onVoteAnswer(answer: VoteAnswer, now: number): void {
    const expected = answer.preVote ? 'pre-candidate' : 'candidate';
    if (this.#role !== expected) return;
    this.#election.recordAnswer(answer);
    this.#countVotes(now);
  }

  #onAppend(append: AppendRequest, now: number): void {
    if (append.term < this.term) {
      this.#answerAppend(append, false, this.lastIndex);
      return;
    }
    this.#acceptLeader(append, now);
    const retryIndex = this.#log.findRetryIndex(append);
    if (retryIndex !== undefined) this.#answerAppend(append, false, retryIndex);
    else this.#answerAppend(append, true, this.#log.appendFromLeader(append));
  }

  /** Follows the sender as the leader of the current term; ignores older terms. */
  #acceptLeader(message: AppendRequest | SnapshotPart, now: number): void {
    if (message.term < this.term) return;
    if (this.#role !== 'follower') this.#becomeFollower(message.term, message.from, now);
    this.#leader = message.from;
    this.#electionTimer.recordLeaderContact(now);
  }

  /** Whether this member leads in the term of an answer. */
  #isForCurrentTerm(answer: AppendAnswer | SnapshotAnswer): boolean {
    return this.#role === 'leader' && answer.term === this.term;
  }

  #answerAppend(append: AppendRequest, success: boolean, matchIndex: number): void {
    const answer = {
      kind: 'append-answer',
      term: this.term,
      from: this.#self,
      success,
      matchIndex,
      sentAt: append.sentAt,
    } as const;
    const awaitsSync = success && matchIndex > this.#log.syncedIndex;
    if (awaitsSync || append.entries.length > 0) this.#outbox.sendAfterSync(append.from, answer);
    else this.#outbox.send(append.from, answer);
  }

  #onAppendAnswer(answer: AppendAnswer, now: number): void {
    if (!this.#isForCurrentTerm(answer)) return;
    this.#replicator.recordAppendAnswer(answer);
    if (answer.success) this.#advanceCommit();
    this.#replicator.sendNextEntries(answer.from, now);
  }

  #onCampaignNow(message: CampaignNow, now: number): void {
    const follows = message.term === this.term && this.#role === 'follower';
    if (follows && this.#isVoter) this.#campaign(now, LEADERSHIP_TRANSFER);
  }

  #campaign(now: number, kind: CampaignKind): void {
    const { voters } = this.membership;
    this.#electionTimer.resetForRetry(now);
    this.#leader = undefined;
    this.#role = kind.preVote ? 'pre-candidate' : 'candidate';
    this.#election.requestVotes(kind, voters, { index: this.lastIndex, term: this.lastTerm });
    this.#countVotes(now);
  }

  get #isVoter(): boolean {
    return this.membership.voters.includes(this.#self);
  }

  #campaignIfOnlyVoter(now: number): void {
    if (this.#isVoter && this.membership.voters.length === 1) this.#campaign(now, ELECTION);
  }

  #countVotes(now: number): void {
    if (!this.#election.isWon(this.membership)) return;
    if (this.#role === 'pre-candidate') this.#campaign(now, ELECTION);
    else this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#role = 'leader';
    this.#leader = this.#self;
    this.#leaderSince = now;
    this.#transferring = false;
    this.#replicator.startTerm(this.term, now);
    const isFirst = this.lastIndex === 0;
    this.#termStartIndex = this.#log.appendEntry(this.term, {
      command: '',
      ...(isFirst ? { membership: this.membership } : {}),
    });
    this.#replicator.broadcast(now, true);
  }

  #becomeFollower(term: number, leader: string | undefined, now: number): void {
    this.#election.advanceToTerm(term);
    this.#role = 'follower';
    this.#leader = leader;
    this.#removed = false;
    this.#transferring = false;
    this.#replicator.clear();
    this.#electionTimer.reset(now);
  }

  #advanceCommit(): void {
    if (!this.#log.commitTo(this.#replicator.quorumMatchIndex, this.term)) return;
    if (this.#log.isMembershipCommitted && !this.#isVoter) this.#removed = true;
  }
}

import { Ballot, type Candidacy } from './ballot';
import { ElectionTimer } from './election-timer';
import { MemberLog, type SnapshottedLog } from './member-log';
import type { Membership } from './membership';
import { Outbox, type RaftOutput } from './outbox';
import type { Progress } from './progress';
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

const PRE_VOTE: Candidacy = { preVote: true, transfer: false };
const ELECTION: Candidacy = { preVote: false, transfer: false };
const HANDED_OVER: Candidacy = { preVote: false, transfer: true };

/** Silence of a quorum, in election times, after which a leader steps down. */
const QUORUM_ELECTION_TIMES = 2;

/**
 * One member of a replicated log: Raft with pre-vote, check-quorum and leadership transfer, as a
 * pure state machine. It does no input or output and reads no clock; the driver passes monotonic
 * time in, and carries out what {@link takeOutput} returns.
 */
export class RaftMember {
  readonly #self: string;
  readonly #timer: ElectionTimer;
  readonly #outbox = new Outbox();
  readonly #log: MemberLog;
  readonly #replicator: Replicator;
  readonly #ballot: Ballot;

  #role: RaftRole = 'follower';
  #leader: string | undefined;
  #leaderSince = 0;
  #firstOwnIndex = 0;
  #transferring = false;
  #transferredAt = 0;
  /** The membership without this member is committed; it steps down once its peers know. */
  #removed = false;

  constructor(options: RaftOptions) {
    const { self, random, hardState } = options;
    const { heartbeatMilliseconds = 100, electionMilliseconds = 500 } = options;
    this.#self = self;
    this.#timer = new ElectionTimer(electionMilliseconds, random);
    this.#log = new MemberLog(options, this.#outbox);
    this.#replicator = new Replicator({
      self,
      log: this.#log,
      outbox: this.#outbox,
      heartbeatMilliseconds,
    });
    this.#ballot = new Ballot(self, this.#outbox, hardState);
  }

  get role(): RaftRole {
    return this.#role;
  }

  get term(): number {
    return this.#ballot.term;
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

  /** Its log, for who takes, installs and compacts to snapshots. */
  get log(): SnapshottedLog {
    return this.#log;
  }

  /** The membership in force, which may not be committed yet. */
  get membership(): Membership {
    return this.#log.membership;
  }

  /** Whether it holds nothing: no entry, no snapshot and no membership. */
  get isNew(): boolean {
    return this.#log.isNew;
  }

  /** Whether no leader was heard, or known to follow, for a few election times. */
  isLeaderless(now: number): boolean {
    return this.#role !== 'leader' && this.#timer.isLeaderless(now);
  }

  get hardState(): HardState {
    return this.#ballot.hardState;
  }

  /** What a leader knows of its peers. */
  get peers(): ReadonlyMap<string, Readonly<Progress>> {
    return this.#replicator.peers;
  }

  /** Whether this leader has committed an entry of its own term, so that its state is current. */
  get ready(): boolean {
    return this.#role === 'leader' && this.commitIndex >= this.#firstOwnIndex;
  }

  /** Monotonic time since which this member leads. */
  get leaderSince(): number {
    return this.#leaderSince;
  }

  /**
   * Whether reads at this leader are linearizable now: a quorum answered messages sent so lately
   * that no other member can have been elected, allowing for clock drift.
   */
  hasReadLease(now: number): boolean {
    if (!this.ready || this.#transferring) return false;
    return this.#replicator.quorumAnsweredAt(now) + this.#timer.leaseMilliseconds > now;
  }

  /**
   * Starts the timers; the first election is due after a random wait. A member grants no vote for
   * one election time after its start, since it may have promised a leader's lease before.
   */
  start(now: number): void {
    this.#timer.hearLeader(now);
    this.#campaignAlone(now);
  }

  /**
   * Founds the log: the first membership, of hosts that all have nothing yet. Every founder must
   * name the same voters.
   */
  found(membership: Membership, now: number): void {
    if (!this.isNew) return;
    this.#log.found(membership);
    this.#campaignAlone(now);
  }

  /** To be called at least every heartbeat time. */
  tick(now: number): void {
    if (this.#role !== 'leader') {
      if (this.#timer.isDue(now) && this.#isVoter) this.#campaign(now, PRE_VOTE);
      return;
    }
    if (this.#removed) {
      this.#replicator.broadcast(now, true);
      this.#becomeFollower(this.term, undefined, now);
      return;
    }
    const { electionMilliseconds } = this.#timer;
    const silence = now - this.#replicator.quorumAnsweredAt(now);
    const isCutOff = silence > electionMilliseconds * QUORUM_ELECTION_TIMES;
    const isOverdue = this.#transferring && now - this.#transferredAt > electionMilliseconds;
    if (isCutOff || isOverdue) this.#becomeFollower(this.term, undefined, now);
    else this.#replicator.beat(now);
  }

  /** Adds a command; returns its index, or nothing when this member does not lead. */
  propose(command: string, now: number): number | undefined {
    if (this.#role !== 'leader' || this.#transferring) return undefined;
    const index = this.#log.add(this.term, { command });
    this.#replicator.broadcast(now, false);
    return index;
  }

  /**
   * Whether this leader may change the membership: one change at a time, and none before an entry
   * of its own term is committed (Ongaro's correction of single-server changes).
   */
  get mayChangeMembership(): boolean {
    return this.ready && !this.#transferring && this.#log.isMembershipCommitted;
  }

  /** Changes the membership by one member; returns whether this member may do so now. */
  changeMembership(membership: Membership, now: number): boolean {
    if (!this.mayChangeMembership) return false;
    this.#log.add(this.term, { command: '', membership });
    this.#replicator.followMembership();
    this.#replicator.broadcast(now, true);
    return true;
  }

  /** Tells that the log up to the entry with this index and term is synced. */
  synced(index: number, term: number): void {
    if (this.#log.noteSynced(index, term) && this.#role === 'leader') this.#advanceCommit();
  }

  /** Hands leadership to a peer: the voter that is furthest along unless one is named. */
  transferLeadership(now: number, to?: string): void {
    if (this.#role !== 'leader') return;
    const peer = to ?? this.#replicator.furthestPeer;
    if (peer === undefined || !this.peers.has(peer)) return;
    if (this.#replicator.catchUp(peer, now)) return;
    if (!this.#transferring) this.#transferredAt = now;
    this.#transferring = true;
    this.#outbox.send(peer, { kind: 'campaign-now', term: this.term, from: this.#self });
  }

  /** Tells that a snapshot for a peer came to nothing, so that another one is made. */
  snapshotFailed(peer: string): void {
    this.#replicator.snapshotFailed(peer);
  }

  receive(message: RaftMessage, now: number): void {
    if (message.term > this.term && this.#followsTerm(message, now)) {
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
        if (this.#isMine(message)) this.#replicator.hear(message);
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
    return !request.transfer && this.#timer.isLeaderLive(now);
  }

  #onVoteRequest(request: VoteRequest, now: number): void {
    const granted = this.#grantsVote(request, now);
    this.#ballot.answer(request, granted);
    if (granted && !request.preVote) this.#timer.reset(now);
  }

  #grantsVote(request: VoteRequest, now: number): boolean {
    const leads = this.#role === 'leader' && !this.#transferring;
    const isUpToDate = this.#log.isCoveredBy({ index: request.lastIndex, term: request.lastTerm });
    const isFree = this.#ballot.isFreeFor(request);
    return isUpToDate && isFree && !leads && !this.#leaderStands(request, now);
  }

  #onVoteAnswer(answer: VoteAnswer, now: number): void {
    const expected = answer.preVote ? 'pre-candidate' : 'candidate';
    if (this.#role !== expected) return;
    this.#ballot.take(answer);
    this.#countVotes(now);
  }

  #onAppend(append: AppendRequest, now: number): void {
    if (append.term < this.term) {
      this.#answerAppend(append, false, this.lastIndex);
      return;
    }
    this.#hearLeader(append, now);
    const retryIndex = this.#log.findRetryIndex(append);
    if (retryIndex !== undefined) this.#answerAppend(append, false, retryIndex);
    else this.#answerAppend(append, true, this.#log.follow(append));
  }

  /** Follows whoever leads the present term. */
  #hearLeader(message: AppendRequest | SnapshotPart, now: number): void {
    if (message.term < this.term) return;
    if (this.#role !== 'follower') this.#becomeFollower(message.term, message.from, now);
    this.#leader = message.from;
    this.#timer.hearLeader(now);
  }

  /** Whether an answer is to this leader in its present term. */
  #isMine(answer: AppendAnswer | SnapshotAnswer): boolean {
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
    const rests = success && matchIndex > this.#log.syncedIndex;
    if (rests || append.entries.length > 0) this.#outbox.sendAfterSync(append.from, answer);
    else this.#outbox.send(append.from, answer);
  }

  #onAppendAnswer(answer: AppendAnswer, now: number): void {
    if (!this.#isMine(answer)) return;
    this.#replicator.take(answer);
    if (answer.success) this.#advanceCommit();
    this.#replicator.goOn(answer.from, now);
  }

  #onCampaignNow(message: CampaignNow, now: number): void {
    const follows = message.term === this.term && this.#role === 'follower';
    if (follows && this.#isVoter) this.#campaign(now, HANDED_OVER);
  }

  #campaign(now: number, candidacy: Candidacy): void {
    const { voters } = this.membership;
    this.#timer.resetForRetry(now);
    this.#leader = undefined;
    this.#role = candidacy.preVote ? 'pre-candidate' : 'candidate';
    this.#ballot.stand(candidacy, voters, { index: this.lastIndex, term: this.lastTerm });
    this.#countVotes(now);
  }

  get #isVoter(): boolean {
    return this.membership.voters.includes(this.#self);
  }

  /** The only voter need not wait for others. */
  #campaignAlone(now: number): void {
    if (this.#isVoter && this.membership.voters.length === 1) this.#campaign(now, ELECTION);
  }

  #countVotes(now: number): void {
    if (!this.#ballot.isWon(this.membership)) return;
    if (this.#role === 'pre-candidate') this.#campaign(now, ELECTION);
    else this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#role = 'leader';
    this.#leader = this.#self;
    this.#leaderSince = now;
    this.#transferring = false;
    this.#replicator.lead(this.term, now);
    const isFirst = this.lastIndex === 0;
    this.#firstOwnIndex = this.#log.add(this.term, {
      command: '',
      ...(isFirst ? { membership: this.membership } : {}),
    });
    this.#replicator.broadcast(now, true);
  }

  #becomeFollower(term: number, leader: string | undefined, now: number): void {
    this.#ballot.enter(term);
    this.#role = 'follower';
    this.#leader = leader;
    this.#removed = false;
    this.#transferring = false;
    this.#replicator.end();
    this.#timer.reset(now);
  }

  #advanceCommit(): void {
    if (!this.#log.commitTo(this.#replicator.quorumIndex, this.term)) return;
    if (this.#log.isMembershipCommitted && !this.#isVoter) this.#removed = true;
  }
}

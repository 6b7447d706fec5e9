import { type CancelTimer, type Component, raiseUncaught, repeat } from '../core';
import { ReplicationError } from './errors';
import { transferLeadershipWithRetry } from './leadership-transfer';
import { type LogComponents, createLogComponents } from './log-components';
import { type Membership, identityOf } from './membership';
import type { LogView, ReplicatedLogOptions } from './replicated-log-options';
import type { Envelope, LogEntry, RaftMessage, SnapshotPart } from './messages';
import { OutputWriter } from './output-writer';
import { PendingProposals } from './pending-proposals';
import type { RaftMember } from './raft-member';
import { loadMember } from './records';
import { type ReceivedSnapshot, buildInstalledAnswer } from './snapshot-transfer';

type Send = (envelope: Envelope) => void;

/** Maximum duration of a leadership transfer before a planned stop, in election timeouts. */
const LEADERSHIP_TRANSFER_ELECTION_TIMEOUTS = 4;

/**
 * Drives one {@link RaftMember}: syncs its records, sends its messages, applies committed entries,
 * takes and sends snapshots, and adapts the membership to the host list. After an error in any of
 * this the member has failed: it neither votes, acknowledges nor serves, and its owner starts another
 * one from the disk.
 */
export class ReplicatedLog<Result> implements Component, LogView {
  readonly #options: ReplicatedLogOptions<Result>;
  readonly #proposals = new PendingProposals<Result>();
  readonly #outputWriter: OutputWriter;
  #incarnation = '';
  #running: LogComponents | undefined;
  #cancelTick: CancelTimer = () => undefined;
  #appliedIndex = 0;
  #installing = false;
  #failed = false;
  #leadershipTransfer: Promise<void> | undefined;
  #lastNotifiedState = '';
  #changeListeners: (() => void)[] = [];

  constructor(options: ReplicatedLogOptions<Result>) {
    this.#options = options;
    this.#outputWriter = new OutputWriter({
      store: options.store,
      onSynced: ({ lastIndex, lastTerm }) => {
        this.#attempt(() => {
          this.#member.recordSynced(lastIndex, lastTerm);
        });
        void this.#processOutput();
      },
      onFailure: (error) => {
        this.#fail(error);
      },
    });
  }

  async start(): Promise<void> {
    const { store, clock, random, machine } = this.#options;
    const { heartbeatMilliseconds = 100 } = this.#options;
    const stored = await loadMember(store, () => random.hex(8));
    this.#incarnation = stored.incarnation;
    if (stored.base.index > 0) machine.restore(stored.rows);
    this.#appliedIndex = stored.base.index;
    this.#running = createLogComponents({
      log: this.#options,
      stored,
      identity: this.identity,
      send: this.#sendByTransport,
      attempt: (change) => {
        this.#attempt(change);
      },
      requireIntact: () => {
        if (this.#failed) throw new Error('the state of this member is uncertain');
      },
    });
    this.#member.start(clock.monotonic());
    this.#tick();
    if (this.#failed) return;
    const { everyTick = (action: () => void) => repeat(clock, heartbeatMilliseconds / 2, action) } =
      this.#options;
    this.#cancelTick = everyTick(() => {
      this.#tick();
    });
  }

  /** Transfers leadership, waits for pending writes and closes the store. */
  async stop(): Promise<void> {
    await this.transferLeadership();
    this.#cancelTick();
    this.#failed = true;
    this.#outputWriter.stop();
    this.#proposals.rejectAll('member stopped with the command pending');
    await this.#outputWriter.idle;
    await this.#options.store.close();
  }

  /** Host name and incarnation of this member; valid after {@link start}. */
  get identity(): string {
    return identityOf(this.#options.self, this.#incarnation);
  }

  get role(): RaftMember['role'] {
    return this.#failed ? 'follower' : (this.#running?.member.role ?? 'follower');
  }

  get term(): number {
    return this.#running?.member.term ?? 0;
  }

  /** Identity of the leader, if one is known. */
  get leader(): string | undefined {
    return this.#failed ? undefined : this.#running?.member.leader;
  }

  /** Whether the store was read and no failure has stopped this member since. */
  get isRunning(): boolean {
    return this.#running !== undefined && !this.#failed;
  }

  /** Valid after {@link start}, as is {@link isVoter}. */
  get membership(): Membership {
    return this.#member.membership;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Whether this member is a voter. */
  get isVoter(): boolean {
    return this.membership.voters.includes(this.identity);
  }

  /** Identities of members that have not answered this leader recently. */
  get unresponsiveMembers(): readonly string[] {
    const now = this.#options.clock.monotonic();
    return this.#started.membershipReconciler.unresponsiveMembers(this.#member, now);
  }

  /** Monotonic time of the last election won by this member, in milliseconds. */
  get leaderSince(): number {
    return this.#member.leaderSince;
  }

  /** Number of entries in memory. */
  get entriesInMemory(): number {
    return this.#member.lastIndex - this.#member.log.base.index;
  }

  /** Whether this member leads and its state includes every acknowledged command. */
  get serves(): boolean {
    if (this.#failed || this.#running === undefined) return false;
    return this.#member.hasReadLease(this.#options.clock.monotonic());
  }

  /**
   * Resolves with the state machine's result once the command is committed and applied; rejects with
   * a {@link ReplicationError}.
   */
  propose(command: string): Promise<Result> {
    const now = this.#options.clock.monotonic();
    const member = this.#member;
    const index = this.#failed ? undefined : this.#attempt(() => member.propose(command, now));
    if (index === undefined) {
      const error = new ReplicationError('not-leader', 'this member is not the leader');
      return Promise.reject(error);
    }
    const result = this.#proposals.resultOf(index, this.#member.term);
    void this.#processOutput();
    return result;
  }

  /** Processes messages of other members; resulting messages are sent through the transport. */
  receive(envelopes: readonly Envelope[]): void {
    this.#deliver(envelopes);
    void this.#processOutput();
  }

  /**
   * Processes messages of one member and resolves with the answers to it, once the records that they
   * depend on are synced. Messages to other members are sent through the transport.
   */
  async exchange(envelopes: readonly Envelope[]): Promise<readonly Envelope[]> {
    const sender = envelopes[0]?.message.from;
    const answers: Envelope[] = [];
    this.#deliver(envelopes);
    await this.#processOutput((envelope) => {
      if (envelope.to === sender) answers.push(envelope);
      else this.#options.transport.send(envelope);
    });
    return answers;
  }

  #tick(): void {
    if (this.#failed || this.#installing) return;
    const now = this.#options.clock.monotonic();
    const { member, snapshotExchange, membershipReconciler } = this.#started;
    this.#attempt(() => {
      member.tick(now);
      snapshotExchange.tick(member.role === 'leader' ? member.term : undefined, now);
      membershipReconciler.tick(member, now);
    });
    void this.#processOutput();
  }

  #deliver(envelopes: readonly Envelope[]): void {
    if (this.#failed || this.#installing || this.#running === undefined) return;
    const { member, membershipReconciler } = this.#running;
    const now = this.#options.clock.monotonic();
    this.#attempt(() => {
      for (const { to, message } of envelopes) {
        if (message.kind === 'hello') membershipReconciler.receiveHello(message, now);
        else if (to === this.identity) this.#deliverOne(member, message, now);
      }
    });
  }

  #deliverOne(member: RaftMember, message: RaftMessage, now: number): void {
    member.receive(message, now);
    if (message.kind === 'snapshot-part') this.#receiveSnapshotPart(member, message);
    else if (message.kind === 'append-answer' && message.success) {
      this.#started.snapshotExchange.stopSending(message.from);
    } else if (message.kind === 'snapshot-answer') {
      this.#started.snapshotExchange.onAnswer(message, now);
    }
  }

  #receiveSnapshotPart(member: RaftMember, part: SnapshotPart): void {
    if (part.term < member.term) return;
    const received = this.#started.snapshotExchange.onPart(part);
    if (received !== undefined) this.#startInstall(member, part, received);
  }

  /** Until the snapshot is synced, no messages are sent, since they may depend on it. */
  #startInstall(member: RaftMember, part: SnapshotPart, snapshot: ReceivedSnapshot): void {
    if (snapshot.metadata.position.index <= member.commitIndex) {
      this.#sendByTransport(buildInstalledAnswer(part, this.identity, member.commitIndex));
      return;
    }
    this.#installing = true;
    this.#outputWriter.enqueue(() => this.#installSnapshot(member, part, snapshot));
  }

  async #installSnapshot(
    member: RaftMember,
    part: SnapshotPart,
    { metadata, rows }: ReceivedSnapshot,
  ): Promise<void> {
    try {
      await this.#started.compactor.installSnapshot(metadata, rows);
      member.log.installSnapshot(metadata);
      this.#options.machine.restore(rows);
      this.#appliedIndex = metadata.position.index;
      this.#sendByTransport(buildInstalledAnswer(part, this.identity, metadata.position.index));
    } catch (error) {
      this.#fail(error);
    } finally {
      this.#installing = false;
    }
  }

  get #started(): LogComponents {
    if (this.#running === undefined) throw new Error('ReplicatedLog was not started');
    return this.#running;
  }

  get #member(): RaftMember {
    return this.#started.member;
  }

  /** Carries out the output of the member; resolves once its records are synced. */
  #processOutput(send: Send = this.#sendByTransport): Promise<void> {
    if (this.#failed || this.#installing || this.#running === undefined) return Promise.resolve();
    return this.#attempt(() => this.#carryOutOutput(send)) ?? Promise.resolve();
  }

  #carryOutOutput(send: Send): Promise<void> {
    const output = this.#member.takeOutput();
    for (const envelope of output.messages) send(envelope);
    const { lastIndex, lastTerm } = this.#member;
    const synced = this.#outputWriter.write(output, { lastIndex, lastTerm }, send);
    this.#applyCommitted();
    for (const peer of output.peersNeedingSnapshot) this.#sendSnapshot(peer);
    this.#notifyIfChanged();
    this.#started.compactor.compactIfDue(this.#appliedIndex).catch((error: unknown) => {
      this.#fail(error);
    });
    return synced;
  }

  /** A failed member sends nothing, also of what was prepared before. */
  readonly #sendByTransport: Send = (envelope) => {
    if (!this.#failed) this.#options.transport.send(envelope);
  };

  #sendSnapshot(peer: string): void {
    const { machine, clock } = this.#options;
    const metadata = this.#member.log.snapshotMetadataAt(this.#appliedIndex);
    const rows = machine.snapshotForTransfer?.() ?? machine.snapshot();
    this.#started.snapshotExchange.startSending(peer, this.term, metadata, rows, clock.monotonic());
  }

  #applyCommitted(): void {
    const { commitIndex } = this.#member;
    if (commitIndex === this.#appliedIndex) return;
    const entries = this.#member.log.range(this.#appliedIndex + 1, commitIndex);
    for (const entry of entries) this.#applyEntry(entry);
  }

  #applyEntry(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    this.#started.compactor.recordApplied(entry);
    if (entry.command === '') return;
    const result = this.#options.machine.apply(entry.command, entry.index, entry.term);
    this.#proposals.settle(entry, result);
  }

  #notifyIfChanged(): void {
    const { role, leader, term, ready } = this.#member;
    const state = `${role} ${leader ?? ''} ${term} ${ready} ${this.isVoter}`;
    if (state === this.#lastNotifiedState) return;
    this.#lastNotifiedState = state;
    if (role !== 'leader') this.#proposals.rejectAll('leadership lost with the command pending');
    try {
      this.#options.onChange?.();
    } catch (error) {
      // The listener belongs to another component, and the member's state is intact.
      raiseUncaught(error);
    }
    for (const listener of this.#changeListeners.splice(0)) listener();
  }

  /** Transfers leadership before a planned stop; does nothing on later calls or if not the leader. */
  transferLeadership(): Promise<void> {
    this.#leadershipTransfer ??= this.role === 'leader' ? this.#runTransfer() : Promise.resolve();
    return this.#leadershipTransfer;
  }

  #runTransfer(): Promise<void> {
    const { clock, electionMilliseconds = 500, heartbeatMilliseconds = 100 } = this.#options;
    return transferLeadershipWithRetry({
      clock,
      timeoutMilliseconds: electionMilliseconds * LEADERSHIP_TRANSFER_ELECTION_TIMEOUTS,
      retryMilliseconds: heartbeatMilliseconds,
      canTransfer: () => this.role === 'leader' && this.#member.membership.voters.length > 1,
      attempt: () => {
        this.#attempt(() => {
          this.#member.transferLeadership(clock.monotonic());
        });
        void this.#processOutput();
      },
      onNextChange: (listener) => this.#changeListeners.push(listener),
    });
  }

  /** Runs a part of a change of the state; after an error, which part of it is done is uncertain. */
  #attempt<Value>(change: () => Value): Value | undefined {
    try {
      return change();
    } catch (error) {
      this.#fail(error);
      return undefined;
    }
  }

  #fail(error: unknown): void {
    if (this.#failed) return;
    this.#failed = true;
    this.#outputWriter.stop();
    this.#cancelTick();
    this.#proposals.rejectAll('member failed with the command pending');
    this.#options.onFailure?.(error);
  }
}

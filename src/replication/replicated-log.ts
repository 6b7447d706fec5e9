import { type CancelTimer, type Component, repeat } from '../core';
import { ReplicationError } from './errors';
import { Compactor } from './compactor';
import { handOver } from './hand-over';
import { type Membership, identityOf } from './membership';
import { MembershipKeeper } from './membership-keeper';
import type { LogView, ReplicatedLogOptions } from './log-options';
import type { Envelope, LogEntry, RaftMessage, SnapshotPart } from './messages';
import { OutputWriter } from './output-writer';
import { Proposals } from './proposals';
import { RaftMember } from './raft';
import { type StoredMember, loadMember } from './records';
import { SnapshotExchange } from './snapshot-exchange';
import { type ReceivedSnapshot, buildInstalledAnswer } from './snapshot-transfer';

/** Silence of a member, in election times, after which it counts as silent. */
const SILENT_ELECTION_TIMES = 2;

/** What is made once the store was read. */
interface Parts {
  readonly member: RaftMember;
  readonly snapshots: SnapshotExchange;
  readonly keeper: MembershipKeeper;
  readonly compactor: Compactor;
}

type Send = (envelope: Envelope) => void;

/** Longest wait for another member to take over at a planned stop, in election times. */
const TRANSFER_ELECTION_TIMES = 4;

/**
 * Runs one {@link RaftMember}: syncs its records, sends its messages, applies what commits, takes
 * and sends snapshots, and brings the membership to the hosts that are listed.
 */
export class ReplicatedLog<Result> implements Component, LogView {
  readonly #options: ReplicatedLogOptions<Result>;
  readonly #proposals = new Proposals<Result>();
  readonly #writer: OutputWriter;
  #incarnation = '';
  #parts: Parts | undefined;
  #cancelTick: CancelTimer = () => undefined;
  #appliedIndex = 0;
  #installing = false;
  #failed = false;
  #handingOver: Promise<void> | undefined;
  #lastChange = '';
  #changeListeners: (() => void)[] = [];

  constructor(options: ReplicatedLogOptions<Result>) {
    this.#options = options;
    this.#writer = new OutputWriter({
      store: options.store,
      onSynced: ({ lastIndex, lastTerm }) => {
        this.#member.synced(lastIndex, lastTerm);
        void this.#pump();
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
    this.#parts = this.#build(stored);
    if (stored.base.index > 0) machine.restore(stored.rows);
    this.#appliedIndex = stored.base.index;
    this.#member.start(clock.monotonic());
    this.#tick();
    const { everyTick = (action: () => void) => repeat(clock, heartbeatMilliseconds / 2, action) } =
      this.#options;
    this.#cancelTick = everyTick(() => {
      this.#tick();
    });
  }

  #build(stored: StoredMember): Parts {
    const { self, hosts, store, machine, electionMilliseconds = 500 } = this.#options;
    const { identity } = this;
    const member = new RaftMember({ ...this.#options, ...stored, self: identity });
    return {
      member,
      snapshots: new SnapshotExchange({
        self: identity,
        send: this.#sendByTransport,
        onFailure: (peer) => {
          member.snapshotFailed(peer);
        },
      }),
      keeper: new MembershipKeeper({
        self,
        identity,
        hosts,
        send: this.#sendByTransport,
        silenceMilliseconds: electionMilliseconds * SILENT_ELECTION_TIMES,
        onChange: (membership, reason) => this.#options.onMembership?.(membership, reason),
      }),
      compactor: new Compactor({
        ...this.#options,
        incarnation: this.#incarnation,
        store,
        member,
        machine,
      }),
    };
  }

  /** Hands leadership over, syncs what is under way and closes the store. */
  async stop(): Promise<void> {
    await this.handOver();
    this.#cancelTick();
    this.#failed = true;
    this.#writer.stop();
    this.#proposals.rejectAll('the member is stopping');
    await this.#writer.idle;
    await this.#options.store.close();
  }

  /** This life of this member. */
  get identity(): string {
    return identityOf(this.#options.self, this.#incarnation);
  }

  get role(): RaftMember['role'] {
    return this.#parts?.member.role ?? 'follower';
  }

  get term(): number {
    return this.#parts?.member.term ?? 0;
  }

  /** Identity of the leader, if one is known. */
  get leader(): string | undefined {
    return this.#parts?.member.leader;
  }

  get membership(): Membership {
    return this.#member.membership;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Whether this member counts for a quorum. */
  get votes(): boolean {
    return this.membership.voters.includes(this.identity);
  }

  /** Members that have not answered this leader for a while. */
  get silentMembers(): readonly string[] {
    const now = this.#options.clock.monotonic();
    return this.#started.keeper.silentMembers(this.#member, now);
  }

  /** Monotonic time at which this member began to lead, while it leads; milliseconds. */
  get leaderSince(): number {
    return this.#member.leaderSince;
  }

  /** Entries held in memory behind the last snapshot. */
  get entriesHeld(): number {
    return this.#member.lastIndex - this.#member.log.base.index;
  }

  /** Whether this member leads and its state holds every acknowledged command. */
  get serves(): boolean {
    if (this.#failed || this.#parts === undefined) return false;
    return this.#member.hasReadLease(this.#options.clock.monotonic());
  }

  /** Resolves with the state machine's result once the command is committed and applied. */
  propose(command: string): Promise<Result> {
    const now = this.#options.clock.monotonic();
    const index = this.#failed ? undefined : this.#member.propose(command, now);
    if (index === undefined) {
      const error = new ReplicationError('not-leader', 'this member does not lead');
      return Promise.reject(error);
    }
    const result = this.#proposals.wait(index, this.#member.term);
    void this.#pump();
    return result;
  }

  /** Takes messages from other members; what they cause goes out through the transport. */
  receive(envelopes: readonly Envelope[]): void {
    this.#feed(envelopes);
    void this.#pump();
  }

  /**
   * Takes messages that one member sent, and resolves with the answers to it once everything they
   * rest on is synced; what they cause for other members goes through the transport.
   */
  async exchange(envelopes: readonly Envelope[]): Promise<readonly Envelope[]> {
    const asker = envelopes[0]?.message.from;
    const answers: Envelope[] = [];
    this.#feed(envelopes);
    await this.#pump((envelope) => {
      if (envelope.to === asker) answers.push(envelope);
      else this.#options.transport.send(envelope);
    });
    return answers;
  }

  #tick(): void {
    if (this.#failed || this.#installing) return;
    const now = this.#options.clock.monotonic();
    const member = this.#member;
    member.tick(now);
    this.#started.snapshots.tick(member.role === 'leader' ? member.term : undefined, now);
    this.#started.keeper.tick(member, now);
    void this.#pump();
  }

  #feed(envelopes: readonly Envelope[]): void {
    if (this.#failed || this.#installing || this.#parts === undefined) return;
    const { member, keeper } = this.#parts;
    const now = this.#options.clock.monotonic();
    for (const { to, message } of envelopes) {
      if (message.kind === 'hello') keeper.hear(message, now);
      else if (to === this.identity) this.#feedOne(member, message, now);
    }
  }

  #feedOne(member: RaftMember, message: RaftMessage, now: number): void {
    member.receive(message, now);
    if (message.kind === 'snapshot-part') this.#takePart(member, message);
    else if (message.kind === 'append-answer' && message.success) {
      this.#started.snapshots.finish(message.from);
    } else if (message.kind === 'snapshot-answer') {
      this.#started.snapshots.onAnswer(message, now);
    }
  }

  #takePart(member: RaftMember, part: SnapshotPart): void {
    if (part.term < member.term) return;
    const received = this.#started.snapshots.onPart(part);
    if (received !== undefined) this.#install(member, part, received);
  }

  /** Until the snapshot is synced this member says nothing: what it would say may rest on it. */
  #install(member: RaftMember, part: SnapshotPart, snapshot: ReceivedSnapshot): void {
    if (snapshot.head.position.index <= member.commitIndex) {
      this.#sendByTransport(buildInstalledAnswer(part, this.identity, member.commitIndex));
      return;
    }
    this.#installing = true;
    this.#writer.insert(() => this.#replace(member, part, snapshot));
  }

  async #replace(
    member: RaftMember,
    part: SnapshotPart,
    { head, rows }: ReceivedSnapshot,
  ): Promise<void> {
    try {
      await this.#started.compactor.replaceBy(head, rows);
      member.log.install(head);
      this.#options.machine.restore(rows);
      this.#appliedIndex = head.position.index;
      this.#sendByTransport(buildInstalledAnswer(part, this.identity, head.position.index));
    } catch (error) {
      this.#fail(error);
    } finally {
      this.#installing = false;
    }
  }

  get #started(): Parts {
    if (this.#parts === undefined) throw new Error('The replicated log was not started');
    return this.#parts;
  }

  get #member(): RaftMember {
    return this.#started.member;
  }

  /** Carries out what the member asks for; resolves once all of it is synced. */
  #pump(send: Send = this.#sendByTransport): Promise<void> {
    if (this.#failed || this.#installing || this.#parts === undefined) return Promise.resolve();
    const output = this.#member.takeOutput();
    for (const envelope of output.messages) send(envelope);
    const { lastIndex, lastTerm } = this.#member;
    const synced = this.#writer.write(output, { lastIndex, lastTerm }, send);
    this.#applyCommitted();
    for (const peer of output.snapshotsFor) this.#sendSnapshot(peer);
    this.#noticeChange();
    this.#started.compactor.compactWhenDue(this.#appliedIndex).catch((error: unknown) => {
      this.#fail(error);
    });
    return synced;
  }

  readonly #sendByTransport: Send = (envelope) => {
    this.#options.transport.send(envelope);
  };

  #sendSnapshot(peer: string): void {
    const { machine, clock } = this.#options;
    const head = this.#member.log.headAt(this.#appliedIndex);
    const rows = machine.transfer?.() ?? machine.snapshot();
    this.#started.snapshots.begin(peer, this.term, head, rows, clock.monotonic());
  }

  #applyCommitted(): void {
    const { commitIndex } = this.#member;
    if (commitIndex === this.#appliedIndex) return;
    const entries = this.#member.log.range(this.#appliedIndex + 1, commitIndex);
    for (const entry of entries) this.#applyEntry(entry);
  }

  #applyEntry(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    this.#started.compactor.noteApplied(entry);
    if (entry.command === '') return;
    const result = this.#options.machine.apply(entry.command, entry.index, entry.term);
    this.#proposals.settle(entry, result);
  }

  #noticeChange(): void {
    const { role, leader, term, ready } = this.#member;
    const change = `${role} ${leader ?? ''} ${term} ${ready} ${this.votes}`;
    if (change === this.#lastChange) return;
    this.#lastChange = change;
    if (role !== 'leader') this.#proposals.rejectAll('leadership ended before the commit');
    this.#options.onChange?.();
    for (const listener of this.#changeListeners.splice(0)) listener();
  }

  /** Hands leadership over before a planned stop, once; does nothing if this member does not lead. */
  handOver(): Promise<void> {
    this.#handingOver ??= this.role === 'leader' ? this.#offerLead() : Promise.resolve();
    return this.#handingOver;
  }

  #offerLead(): Promise<void> {
    const { clock, electionMilliseconds = 500, heartbeatMilliseconds = 100 } = this.#options;
    return handOver({
      clock,
      deadlineMilliseconds: electionMilliseconds * TRANSFER_ELECTION_TIMES,
      pauseMilliseconds: heartbeatMilliseconds,
      leads: () => this.role === 'leader' && this.#member.membership.voters.length > 1,
      offer: () => {
        this.#member.transferLeadership(clock.monotonic());
        void this.#pump();
      },
      onceChanged: (listener) => this.#changeListeners.push(listener),
    });
  }

  #fail(error: unknown): void {
    if (this.#failed) return;
    this.#failed = true;
    this.#writer.stop();
    this.#cancelTick();
    this.#proposals.rejectAll('the disk failed');
    this.#options.onFailure?.(error);
  }
}

import { type CancelTimer, type Clock, type Component, type RandomSource, repeat } from '../core';
import type { RecordStore } from '../storage';
import { ReplicationError } from './errors';
import type { Envelope, LogEntry, RaftMessage } from './messages';
import type { RaftOutput } from './outbox';
import { RaftMember } from './raft';
import { decodeRecords, encodeRecords } from './records';

/** Carries messages to other members; delivery may fail, repeat or come out of order. */
export interface ReplicationTransport {
  send(envelope: Envelope): void;
}

/** The deterministic state that the log's commands drive. */
export interface StateMachine<Result> {
  /** Applies one committed command; `index` counts from 1. */
  apply(command: string, index: number, term: number): Result;
}

/** What a replicated log is built from; times in milliseconds. */
export interface ReplicatedLogOptions<Result> {
  readonly self: string;
  readonly members: readonly string[];
  readonly store: RecordStore;
  readonly transport: ReplicationTransport;
  readonly machine: StateMachine<Result>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly heartbeatMilliseconds?: number;
  readonly electionMilliseconds?: number;
  /** Called when the role or leader changes. */
  readonly onChange?: () => void;
  /** Called once when the disk fails; the member takes no further part. */
  readonly onFailure?: (error: unknown) => void;
}

type Send = (envelope: Envelope) => void;

interface Proposal<Result> {
  readonly term: number;
  readonly resolve: (result: Result) => void;
  readonly reject: (error: ReplicationError) => void;
}

/** Longest wait for another member to take over at a planned stop, in election times. */
const TRANSFER_ELECTION_TIMES = 4;

/** Runs one {@link RaftMember}: syncs its records, sends its messages, applies what commits. */
export class ReplicatedLog<Result> implements Component {
  readonly #options: ReplicatedLogOptions<Result>;
  readonly #proposals = new Map<number, Proposal<Result>>();
  #member: RaftMember | undefined;
  #cancelTick: CancelTimer = () => undefined;
  #appliedIndex = 0;
  #syncing: Promise<void> = Promise.resolve();
  #failed = false;
  #lastChange = '';
  #changeListeners: (() => void)[] = [];

  constructor(options: ReplicatedLogOptions<Result>) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { store, clock, heartbeatMilliseconds = 100 } = this.#options;
    const stored = decodeRecords(await store.load());
    this.#member = new RaftMember({ ...this.#options, ...stored });
    this.#member.start(clock.monotonic());
    void this.#pump();
    this.#cancelTick = repeat(clock, heartbeatMilliseconds / 2, () => {
      this.#running.tick(clock.monotonic());
      void this.#pump();
    });
  }

  /** Hands leadership over, syncs what is under way and closes the store. */
  async stop(): Promise<void> {
    if (this.#member?.role === 'leader') await this.#handOver();
    this.#cancelTick();
    this.#failed = true;
    this.#rejectProposals('uncertain', 'the member is stopping');
    await this.#syncing;
    await this.#options.store.close();
  }

  get role(): RaftMember['role'] {
    return this.#running.role;
  }

  get term(): number {
    return this.#running.term;
  }

  get leader(): string | undefined {
    return this.#running.leader;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  get leaderSince(): number {
    return this.#running.leaderSince;
  }

  /** Whether this member leads and its state holds every acknowledged command. */
  get serves(): boolean {
    return !this.#failed && this.#running.hasReadLease(this.#options.clock.monotonic());
  }

  /** Resolves with the state machine's result once the command is committed and applied. */
  propose(command: string): Promise<Result> {
    return new Promise((resolve, reject) => {
      const index = this.#failed
        ? undefined
        : this.#running.propose(command, this.#options.clock.monotonic());
      if (index === undefined) {
        reject(new ReplicationError('not-leader', 'this member does not lead'));
        return;
      }
      this.#proposals.set(index, { term: this.#running.term, resolve, reject });
      void this.#pump();
    });
  }

  /** Takes messages from other members; what they cause goes out through the transport. */
  receive(messages: readonly RaftMessage[]): void {
    this.#feed(messages);
    void this.#pump();
  }

  /**
   * Takes messages that one member sent, and resolves with the answers to it once everything they
   * rest on is synced; what they cause for other members goes through the transport.
   */
  async exchange(messages: readonly RaftMessage[]): Promise<readonly RaftMessage[]> {
    const asker = messages[0]?.from;
    const answers: RaftMessage[] = [];
    this.#feed(messages);
    await this.#pump((envelope) => {
      if (envelope.to === asker) answers.push(envelope.message);
      else this.#options.transport.send(envelope);
    });
    return answers;
  }

  #feed(messages: readonly RaftMessage[]): void {
    if (this.#failed || this.#member === undefined) return;
    for (const message of messages) this.#member.receive(message, this.#options.clock.monotonic());
  }

  get #running(): RaftMember {
    if (this.#member === undefined) throw new Error('The replicated log was not started');
    return this.#member;
  }

  /** Carries out what the member asks for; resolves once all of it is synced. */
  #pump(send: Send = this.#sendByTransport): Promise<void> {
    if (this.#failed || this.#member === undefined) return Promise.resolve();
    const output = this.#running.takeOutput();
    for (const envelope of output.messages) this.#options.transport.send(envelope);
    const synced = this.#sync(output, send);
    this.#applyCommitted();
    this.#noticeChange();
    return synced;
  }

  readonly #sendByTransport: Send = (envelope) => {
    this.#options.transport.send(envelope);
  };

  #sync(output: RaftOutput, send: Send): Promise<void> {
    const records = encodeRecords(output);
    if (records.length === 0 && output.messagesAfterSync.length === 0) return Promise.resolve();
    const { lastIndex, lastTerm } = this.#running;
    const written = records.length === 0 ? this.#syncing : this.#options.store.append(records);
    this.#syncing = Promise.all([this.#syncing, written]).then(
      () => {
        if (this.#failed) return;
        for (const envelope of output.messagesAfterSync) send(envelope);
        this.#running.synced(lastIndex, lastTerm);
        void this.#pump();
      },
      (error: unknown) => {
        this.#fail(error);
      },
    );
    return this.#syncing;
  }

  #applyCommitted(): void {
    const { commitIndex } = this.#running;
    if (commitIndex === this.#appliedIndex) return;
    const entries = this.#running.entriesBetween(this.#appliedIndex + 1, commitIndex);
    for (const entry of entries) this.#applyEntry(entry);
  }

  #applyEntry(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    const proposal = this.#proposals.get(entry.index);
    this.#proposals.delete(entry.index);
    if (entry.command === '') return;
    const result = this.#options.machine.apply(entry.command, entry.index, entry.term);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else proposal?.reject(new ReplicationError('uncertain', 'another leader wrote at this index'));
  }

  #noticeChange(): void {
    const { role, leader, term, ready } = this.#running;
    const change = `${role} ${leader ?? ''} ${term} ${ready}`;
    if (change === this.#lastChange) return;
    this.#lastChange = change;
    if (role !== 'leader') this.#rejectProposals('uncertain', 'leadership ended before the commit');
    this.#options.onChange?.();
    for (const listener of this.#changeListeners.splice(0)) listener();
  }

  #rejectProposals(failure: 'not-leader' | 'uncertain', message: string): void {
    const proposals = [...this.#proposals.values()];
    this.#proposals.clear();
    for (const proposal of proposals) proposal.reject(new ReplicationError(failure, message));
  }

  async #handOver(): Promise<void> {
    const { clock, electionMilliseconds = 500 } = this.#options;
    const deadline = clock.monotonic() + electionMilliseconds * TRANSFER_ELECTION_TIMES;
    while (
      this.role === 'leader' &&
      this.#options.members.length > 1 &&
      clock.monotonic() < deadline
    ) {
      this.#running.transferLeadership(clock.monotonic());
      void this.#pump();
      await this.#changeOrTick();
    }
  }

  #changeOrTick(): Promise<void> {
    const { clock, heartbeatMilliseconds = 100 } = this.#options;
    return new Promise((resolve) => {
      const cancel = clock.after(heartbeatMilliseconds, resolve);
      this.#changeListeners.push(() => {
        cancel();
        resolve();
      });
    });
  }

  #fail(error: unknown): void {
    if (this.#failed) return;
    this.#failed = true;
    this.#cancelTick();
    this.#rejectProposals('uncertain', 'the disk failed');
    this.#options.onFailure?.(error);
  }
}

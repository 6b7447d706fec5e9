import type { RaftLog } from './raft-log';
import type { AppendAnswer, LogEntry, SnapshotAnswer } from './messages';
import type { Outbox } from './outbox';
import { type PeerProgress, ProgressTable } from './progress';

const ENTRIES_PER_MESSAGE = 256;

/** Characters of commands in one append; a single entry may have more. */
const CHARACTERS_PER_MESSAGE = 512 * 1024;

export interface ReplicatorOptions {
  readonly self: string;
  readonly log: RaftLog;
  readonly outbox: Outbox;
  readonly heartbeatMilliseconds: number;
}

/** Sends a leader's appends and heartbeats to its peers and tracks their answers. */
export class Replicator {
  readonly #options: ReplicatorOptions;
  readonly #progress: ProgressTable;
  #term = 0;
  #nextHeartbeatAt = 0;

  constructor(options: ReplicatorOptions) {
    this.#options = options;
    this.#progress = new ProgressTable(options.self);
  }

  /** Progress by peer; empty while this member does not lead. */
  get peers(): ReadonlyMap<string, Readonly<PeerProgress>> {
    return this.#progress.peers;
  }

  /** Starts to lead in a term; every peer counts as having answered at `now`. */
  startTerm(term: number, now: number): void {
    const { log } = this.#options;
    this.#term = term;
    this.#progress.clear();
    this.#progress.applyMembership(log.membership, log.lastIndex, now);
  }

  clear(): void {
    this.#progress.clear();
  }

  /** Applies a changed membership; a new peer counts as never having answered. */
  applyMembership(): void {
    const { log } = this.#options;
    this.#progress.applyMembership(log.membership, log.lastIndex, -Infinity);
  }

  /** Newest send time of messages that a quorum has answered; the leader counts as `now`. */
  quorumAnsweredAt(now: number): number {
    return this.#progress.quorumAnsweredAt(now);
  }

  get quorumMatchIndex(): number {
    return this.#progress.quorumMatchIndex(this.#options.log.syncedIndex);
  }

  get mostUpToDatePeer(): string | undefined {
    return this.#progress.mostUpToDate()?.[0];
  }

  sendHeartbeatIfDue(now: number): void {
    if (now >= this.#nextHeartbeatAt) this.broadcast(now, true);
  }

  /** Sends an append to every peer; unless it is a heartbeat, only to peers with nothing in flight. */
  broadcast(now: number, isHeartbeat: boolean): void {
    if (isHeartbeat) this.#nextHeartbeatAt = now + this.#options.heartbeatMilliseconds;
    for (const [peer, progress] of this.#progress.peers) {
      const isIdle = progress.appendInFlight === undefined && !progress.snapshotInFlight;
      if (isHeartbeat || isIdle) this.#sendAppend(peer, progress, now);
    }
  }

  /** Sends a peer the entries it lacks; returns false if it lacks none or is unknown. */
  sendMissingEntries(peer: string, now: number): boolean {
    const progress = this.#progress.get(peer);
    if (progress === undefined || progress.matchIndex >= this.#options.log.lastIndex) return false;
    this.#sendAppend(peer, progress, now);
    return true;
  }

  /** Updates the answer time of a peer; returns its progress, or undefined if unknown. */
  recordAnswer({ from, sentAt }: AppendAnswer | SnapshotAnswer): PeerProgress | undefined {
    const progress = this.#progress.get(from);
    if (progress === undefined) return undefined;
    progress.answeredAt = Math.max(progress.answeredAt, sentAt);
    return progress;
  }

  recordAppendAnswer(answer: AppendAnswer): void {
    const progress = this.recordAnswer(answer);
    if (progress === undefined) return;
    const { appendInFlight } = progress;
    if (answer.success) {
      progress.snapshotInFlight = false;
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      const isAnswered = progress.matchIndex >= (appendInFlight?.lastIndex ?? 0);
      if (isAnswered) progress.appendInFlight = undefined;
    } else if (answer.sentAt >= (appendInFlight?.sentAt ?? -Infinity)) {
      progress.appendInFlight = undefined;
      progress.nextIndex = Math.max(progress.matchIndex + 1, answer.matchIndex + 1);
    }
  }

  sendNextEntries(peer: string, now: number): void {
    const progress = this.#progress.get(peer);
    if (progress === undefined || progress.snapshotInFlight) return;
    if (progress.appendInFlight !== undefined) return;
    if (progress.nextIndex <= this.#options.log.lastIndex) this.#sendAppend(peer, progress, now);
  }

  /** Clears the snapshot in flight, so that the next append requests another one. */
  recordSnapshotFailure(peer: string): void {
    const progress = this.#progress.get(peer);
    if (progress !== undefined) progress.snapshotInFlight = false;
  }

  /**
   * Sends the next entries, or requests a snapshot if they were dropped. While an append is in flight,
   * sends a heartbeat that continues it: a connection keeps the order of its messages, so the peer
   * rejects the heartbeat only if the append was lost.
   */
  #sendAppend(peer: string, progress: PeerProgress, now: number): void {
    const { log, outbox } = this.#options;
    if (progress.appendInFlight !== undefined) {
      this.#send(peer, progress.appendInFlight.lastIndex, [], now);
      return;
    }
    const isDropped = progress.nextIndex <= log.base.index;
    if (isDropped && !progress.snapshotInFlight) {
      progress.snapshotInFlight = true;
      outbox.requestSnapshot(peer);
    }
    const previousIndex = isDropped ? log.lastIndex : progress.nextIndex - 1;
    const entries = isDropped ? [] : this.#entriesFrom(progress.nextIndex);
    if (entries.length > 0) {
      progress.appendInFlight = { lastIndex: previousIndex + entries.length, sentAt: now };
    }
    this.#send(peer, previousIndex, entries, now);
  }

  #send(peer: string, previousIndex: number, entries: readonly LogEntry[], now: number): void {
    const { self, log, outbox } = this.#options;
    outbox.send(peer, {
      kind: 'append',
      term: this.#term,
      from: self,
      previousIndex,
      previousTerm: log.termAt(previousIndex),
      entries,
      commitIndex: log.commitIndex,
      sentAt: now,
    });
  }

  #entriesFrom(first: number): readonly LogEntry[] {
    const { log } = this.#options;
    const entries = log.range(first, log.lastIndex, ENTRIES_PER_MESSAGE);
    let characters = 0;
    const end = entries.findIndex(({ command }, index) => {
      characters += command.length;
      return index > 0 && characters > CHARACTERS_PER_MESSAGE;
    });
    return end < 0 ? entries : entries.slice(0, end);
  }
}

import type { MemberLog } from './member-log';
import type { AppendAnswer, SnapshotAnswer } from './messages';
import type { Outbox } from './outbox';
import { type Progress, ProgressTable } from './progress';

const ENTRIES_PER_MESSAGE = 256;

export interface ReplicatorOptions {
  readonly self: string;
  readonly log: MemberLog;
  readonly outbox: Outbox;
  readonly heartbeatMilliseconds: number;
}

/** What a leader does for its peers: appends, heartbeats, and what each has answered. */
export class Replicator {
  readonly #options: ReplicatorOptions;
  readonly #progress: ProgressTable;
  #term = 0;
  #heartbeatDue = 0;

  constructor(options: ReplicatorOptions) {
    this.#options = options;
    this.#progress = new ProgressTable(options.self);
  }

  /** What is known of the peers; nothing while this member does not lead. */
  get peers(): ReadonlyMap<string, Readonly<Progress>> {
    return this.#progress.peers;
  }

  /** Begins to lead in a term; the peers count as having answered just now. */
  lead(term: number, now: number): void {
    const { log } = this.#options;
    this.#term = term;
    this.#progress.clear();
    this.#progress.follow(log.membership, log.lastIndex, now);
  }

  end(): void {
    this.#progress.clear();
  }

  /** Takes a changed membership over; a new peer counts as never having answered. */
  followMembership(): void {
    const { log } = this.#options;
    this.#progress.follow(log.membership, log.lastIndex, -Infinity);
  }

  /** Newest time at which a quorum, the leader included, is known to have followed. */
  quorumAnsweredAt(now: number): number {
    return this.#progress.quorumAnsweredAt(now);
  }

  /** Highest index that a quorum has synced. */
  get quorumIndex(): number {
    return this.#progress.quorumMatch(this.#options.log.syncedIndex);
  }

  /** The voter that is furthest along. */
  get furthestPeer(): string | undefined {
    return this.#progress.furthest()?.[0];
  }

  beat(now: number): void {
    if (now >= this.#heartbeatDue) this.broadcast(now, true);
  }

  /** Sends to all peers, or only to those that wait for nothing. */
  broadcast(now: number, isHeartbeat: boolean): void {
    if (isHeartbeat) this.#heartbeatDue = now + this.#options.heartbeatMilliseconds;
    for (const [peer, progress] of this.#progress.peers) {
      const free = !progress.inFlight && !progress.installing;
      if (isHeartbeat || free) this.#sendAppend(peer, progress, now);
    }
  }

  /** Sends a peer what it lacks; returns whether there was anything. */
  catchUp(peer: string, now: number): boolean {
    const progress = this.#progress.get(peer);
    if (progress === undefined || progress.matchIndex >= this.#options.log.lastIndex) return false;
    this.#sendAppend(peer, progress, now);
    return true;
  }

  /** Notes that a peer has answered; returns what is known of it. */
  hear({ from, sentAt }: AppendAnswer | SnapshotAnswer): Progress | undefined {
    const progress = this.#progress.get(from);
    if (progress === undefined) return undefined;
    progress.answeredAt = Math.max(progress.answeredAt, sentAt);
    return progress;
  }

  /** Takes the answer to an append. */
  take(answer: AppendAnswer): void {
    const progress = this.hear(answer);
    if (progress === undefined) return;
    progress.inFlight = false;
    if (answer.success) {
      progress.installing = false;
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    } else {
      progress.nextIndex = Math.max(progress.matchIndex + 1, answer.matchIndex + 1);
    }
  }

  /** Sends a peer that has just answered the entries that follow. */
  goOn(peer: string, now: number): void {
    const progress = this.#progress.get(peer);
    if (progress === undefined || progress.installing) return;
    if (progress.nextIndex <= this.#options.log.lastIndex) this.#sendAppend(peer, progress, now);
  }

  /** Tells that a snapshot for a peer came to nothing, so that another one is made. */
  snapshotFailed(peer: string): void {
    const progress = this.#progress.get(peer);
    if (progress !== undefined) progress.installing = false;
  }

  /** A lost append is repeated with the next heartbeat, from the last index known equal. */
  #sendAppend(peer: string, progress: Progress, now: number): void {
    const { self, log, outbox } = this.#options;
    const dropped = progress.nextIndex <= log.base.index;
    if (dropped && !progress.installing) {
      progress.installing = true;
      outbox.needsSnapshot(peer);
    }
    const previousIndex = dropped ? log.lastIndex : progress.nextIndex - 1;
    const entries = dropped
      ? []
      : log.range(progress.nextIndex, log.lastIndex, ENTRIES_PER_MESSAGE);
    progress.inFlight = entries.length > 0;
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
}

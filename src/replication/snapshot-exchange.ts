import type { Envelope, SnapshotAnswer, SnapshotPart } from './messages';
import type { SnapshotMetadata } from './raft-log';
import { type ReceivedSnapshot, SnapshotReceiver, SnapshotSender } from './snapshot-transfer';

/** Time after which an unanswered part is sent again. */
const RESEND_MILLISECONDS = 500;

export interface SnapshotExchangeOptions {
  readonly self: string;
  readonly send: (envelope: Envelope) => void;
  /** Called with a peer whose snapshot transfer was aborted and needs a new snapshot. */
  readonly onFailure: (peer: string) => void;
}

interface OutgoingSnapshot {
  readonly sender: SnapshotSender;
  readonly term: number;
  /** Monotonic time of the last send, in milliseconds. */
  sentAt: number;
  /** The next part is being read. */
  reading: boolean;
}

/** Sends snapshots to peers and assembles the snapshot received from the leader. */
export class SnapshotExchange {
  readonly #options: SnapshotExchangeOptions;
  readonly #outgoing = new Map<string, OutgoingSnapshot>();
  readonly #receiver = new SnapshotReceiver();

  constructor(options: SnapshotExchangeOptions) {
    this.#options = options;
  }

  /** Starts sending a snapshot; replaces a transfer in progress to the same peer. */
  startSending(
    peer: string,
    term: number,
    metadata: SnapshotMetadata,
    rows: Iterable<string> | AsyncIterable<string>,
    now: number,
  ): void {
    const sender = new SnapshotSender(metadata, rows);
    const outgoing = { sender, term, sentAt: now, reading: false };
    this.#outgoing.set(peer, outgoing);
    void this.#sendNext(peer, outgoing, now);
  }

  /** Resends unanswered parts and drops transfers of terms that this member no longer leads. */
  tick(leaderTerm: number | undefined, now: number): void {
    for (const [peer, outgoing] of this.#outgoing) {
      if (outgoing.term !== leaderTerm) this.#outgoing.delete(peer);
      else if (now - outgoing.sentAt >= RESEND_MILLISECONDS) this.#send(peer, outgoing, now);
    }
  }

  onAnswer(answer: SnapshotAnswer, now: number): void {
    const outgoing = this.#outgoing.get(answer.from);
    if (outgoing?.term !== answer.term || outgoing.reading) return;
    const progress = outgoing.sender.classifyAnswer(answer);
    if (progress === 'advanced') void this.#sendNext(answer.from, outgoing, now);
    else if (progress === 'lost') this.#abort(answer.from);
  }

  stopSending(peer: string): void {
    this.#outgoing.delete(peer);
  }

  /** Adds a part from the leader; requests the next part, or returns the completed snapshot. */
  onPart(part: SnapshotPart): ReceivedSnapshot | undefined {
    const received = this.#receiver.addPart(part);
    if (received !== undefined) return received;
    this.#options.send({
      to: part.from,
      message: {
        kind: 'snapshot-answer',
        term: part.term,
        from: this.#options.self,
        lastIndex: part.lastIndex,
        nextPart: this.#receiver.nextPartOf(part),
        sentAt: part.sentAt,
      },
    });
    return undefined;
  }

  async #sendNext(peer: string, outgoing: OutgoingSnapshot, now: number): Promise<void> {
    outgoing.reading = true;
    try {
      await outgoing.sender.readNextPart();
    } catch {
      this.#abort(peer);
      return;
    }
    outgoing.reading = false;
    if (this.#outgoing.get(peer) === outgoing) this.#send(peer, outgoing, now);
  }

  #abort(peer: string): void {
    this.#outgoing.delete(peer);
    this.#options.onFailure(peer);
  }

  #send(peer: string, outgoing: OutgoingSnapshot, now: number): void {
    if (outgoing.reading) return;
    outgoing.sentAt = now;
    const origin = { term: outgoing.term, from: this.#options.self };
    this.#options.send({ to: peer, message: outgoing.sender.buildPart(origin, now) });
  }
}

import type { Envelope, SnapshotAnswer, SnapshotPart } from './messages';
import type { SnapshotHead } from './raft';
import { type ReceivedSnapshot, SnapshotReceiving, SnapshotSending } from './snapshot-transfer';

/** Pause after which an unanswered part is sent again; milliseconds. */
const REPEAT_MILLISECONDS = 500;

export interface SnapshotExchangeOptions {
  readonly self: string;
  readonly send: (envelope: Envelope) => void;
}

interface Outgoing {
  readonly sending: SnapshotSending;
  readonly term: number;
  sentAt: number;
}

/** The snapshots that one member sends to peers and receives from its leader. */
export class SnapshotExchange {
  readonly #options: SnapshotExchangeOptions;
  readonly #outgoing = new Map<string, Outgoing>();
  readonly #receiving = new SnapshotReceiving();

  constructor(options: SnapshotExchangeOptions) {
    this.#options = options;
  }

  /** Begins to send a snapshot, in place of one that is under way to the same peer. */
  begin(peer: string, term: number, head: SnapshotHead, rows: Iterable<string>, now: number): void {
    const outgoing = { sending: new SnapshotSending(head, rows), term, sentAt: now };
    this.#outgoing.set(peer, outgoing);
    this.#send(peer, outgoing, now);
  }

  /** Repeats parts that were lost, and drops what a member sent that leads no more. */
  tick(leadsTerm: number | undefined, now: number): void {
    for (const [peer, outgoing] of this.#outgoing) {
      if (outgoing.term !== leadsTerm) this.#outgoing.delete(peer);
      else if (now - outgoing.sentAt >= REPEAT_MILLISECONDS) this.#send(peer, outgoing, now);
    }
  }

  /** Sends the next part; returns false once the peer has lost what it had received. */
  onAnswer(answer: SnapshotAnswer, now: number): boolean {
    const outgoing = this.#outgoing.get(answer.from);
    if (outgoing?.term !== answer.term) return true;
    if (outgoing.sending.advance(answer)) {
      this.#send(answer.from, outgoing, now);
      return true;
    }
    const lost = answer.nextPart === 0;
    if (lost) this.#outgoing.delete(answer.from);
    return !lost;
  }

  /** Forgets what was under way to a peer that has the snapshot. */
  finish(peer: string): void {
    this.#outgoing.delete(peer);
  }

  /** Takes a part from the leader, and asks for the next one unless the snapshot is whole. */
  onPart(part: SnapshotPart): ReceivedSnapshot | undefined {
    const received = this.#receiving.take(part);
    if (received !== undefined) return received;
    this.#options.send({
      to: part.from,
      message: {
        kind: 'snapshot-answer',
        term: part.term,
        from: this.#options.self,
        lastIndex: part.lastIndex,
        nextPart: this.#receiving.nextAfter(part),
        sentAt: part.sentAt,
      },
    });
    return undefined;
  }

  #send(peer: string, outgoing: Outgoing, now: number): void {
    outgoing.sentAt = now;
    const sender = { term: outgoing.term, from: this.#options.self };
    this.#options.send({ to: peer, message: outgoing.sending.build(sender, now) });
  }
}

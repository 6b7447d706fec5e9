import type { Envelope, SnapshotAnswer, SnapshotPart } from './messages';
import type { SnapshotHead } from './member-log';
import { type ReceivedSnapshot, SnapshotReceiving, SnapshotSending } from './snapshot-transfer';

/** Pause after which an unanswered part is sent again; milliseconds. */
const REPEAT_MILLISECONDS = 500;

export interface SnapshotExchangeOptions {
  readonly self: string;
  readonly send: (envelope: Envelope) => void;
  /** Told of a peer whose snapshot came to nothing, so that another one is made. */
  readonly onFailure: (peer: string) => void;
}

interface Outgoing {
  readonly sending: SnapshotSending;
  readonly term: number;
  sentAt: number;
  /** A part is being read from disk. */
  reading: boolean;
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
  begin(
    peer: string,
    term: number,
    head: SnapshotHead,
    rows: Iterable<string> | AsyncIterable<string>,
    now: number,
  ): void {
    const sending = new SnapshotSending(head, rows);
    const outgoing = { sending, term, sentAt: now, reading: false };
    this.#outgoing.set(peer, outgoing);
    void this.#sendNext(peer, outgoing, now);
  }

  /** Repeats parts that were lost, and drops what a member sent that leads no more. */
  tick(leadsTerm: number | undefined, now: number): void {
    for (const [peer, outgoing] of this.#outgoing) {
      if (outgoing.term !== leadsTerm) this.#outgoing.delete(peer);
      else if (now - outgoing.sentAt >= REPEAT_MILLISECONDS) this.#send(peer, outgoing, now);
    }
  }

  /** Sends the part that a peer asks for. */
  onAnswer(answer: SnapshotAnswer, now: number): void {
    const outgoing = this.#outgoing.get(answer.from);
    if (outgoing?.term !== answer.term || outgoing.reading) return;
    const progress = outgoing.sending.judge(answer);
    if (progress === 'advanced') void this.#sendNext(answer.from, outgoing, now);
    else if (progress === 'lost') this.#giveUp(answer.from);
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

  async #sendNext(peer: string, outgoing: Outgoing, now: number): Promise<void> {
    outgoing.reading = true;
    try {
      await outgoing.sending.advance();
    } catch {
      this.#giveUp(peer);
      return;
    }
    outgoing.reading = false;
    if (this.#outgoing.get(peer) === outgoing) this.#send(peer, outgoing, now);
  }

  #giveUp(peer: string): void {
    this.#outgoing.delete(peer);
    this.#options.onFailure(peer);
  }

  #send(peer: string, outgoing: Outgoing, now: number): void {
    if (outgoing.reading) return;
    outgoing.sentAt = now;
    const sender = { term: outgoing.term, from: this.#options.self };
    this.#options.send({ to: peer, message: outgoing.sending.build(sender, now) });
  }
}

import type { RaftEnvelope, SnapshotAnswer, SnapshotPart } from './messages';
import type { SnapshotHead } from './member-log';

/** Size from which a part is sent; characters. */
const PART_CHARACTERS = 512 * 1024;

/** What a part needs besides its rows. */
interface Sender {
  readonly term: number;
  readonly from: string;
}

/** What a peer's answer asks for. */
export type SnapshotProgress =
  /** The next part. */
  | 'advanced'
  /** Nothing: the answer is an old one. */
  | 'unchanged'
  /** Everything: the peer has lost what it had received. */
  | 'lost';

/** A snapshot on its way to one peer, part by part; each answer asks for the next one. */
export class SnapshotSending {
  readonly head: SnapshotHead;
  readonly #rows: Iterator<string> | AsyncIterator<string>;
  #part = -1;
  #partRows: readonly string[] = [];
  #final = false;

  /** `rows` is read as parts are sent, so it must not change. */
  constructor(head: SnapshotHead, rows: Iterable<string> | AsyncIterable<string>) {
    this.head = head;
    this.#rows = Symbol.iterator in rows ? rows[Symbol.iterator]() : rows[Symbol.asyncIterator]();
  }

  /** What an answer means. */
  judge(answer: SnapshotAnswer): SnapshotProgress {
    if (answer.lastIndex !== this.head.position.index) return 'unchanged';
    if (answer.nextPart === this.#part + 1 && !this.#final) return 'advanced';
    return answer.nextPart === 0 && this.#part > 0 ? 'lost' : 'unchanged';
  }

  /** Reads the next part. */
  async advance(): Promise<void> {
    const rows: string[] = [];
    let size = 0;
    while (size < PART_CHARACTERS && !this.#final) {
      const next = await this.#rows.next();
      if (next.done === true) {
        this.#final = true;
      } else {
        rows.push(next.value);
        size += next.value.length;
      }
    }
    this.#partRows = rows;
    this.#part += 1;
  }

  /** The present part, also when it has to be repeated. */
  build({ term, from }: Sender, sentAt: number): SnapshotPart {
    const { position, membership } = this.head;
    return {
      kind: 'snapshot-part',
      term,
      from,
      lastIndex: position.index,
      lastTerm: position.term,
      membership,
      part: this.#part,
      rows: this.#partRows,
      final: this.#final,
      sentAt,
    };
  }
}

/** A whole snapshot, received. */
export interface ReceivedSnapshot {
  readonly head: SnapshotHead;
  readonly rows: readonly string[];
}

/** Puts the parts of one snapshot together. */
export class SnapshotReceiving {
  #key = '';
  #rows: string[] = [];
  #nextPart = 0;

  /** Takes a part; returns the snapshot once it is whole. A repeated part changes nothing. */
  take(part: SnapshotPart): ReceivedSnapshot | undefined {
    const key = keyOf(part);
    if (key !== this.#key && part.part === 0) this.#begin(key);
    if (key !== this.#key || part.part !== this.#nextPart) return undefined;
    for (const row of part.rows) this.#rows.push(row);
    this.#nextPart += 1;
    if (!part.final) return undefined;
    const position = { index: part.lastIndex, term: part.lastTerm };
    const received = { head: { position, membership: part.membership }, rows: this.#rows };
    this.#begin('');
    return received;
  }

  /** The part that is needed next of the snapshot that a part belongs to. */
  nextAfter(part: SnapshotPart): number {
    return keyOf(part) === this.#key ? this.#nextPart : 0;
  }

  #begin(key: string): void {
    this.#key = key;
    this.#rows = [];
    this.#nextPart = 0;
  }
}

function keyOf(part: SnapshotPart): string {
  return `${part.from} ${part.term} ${part.lastIndex}`;
}

/** Tells the leader up to which index its snapshot made the log equal to its own. */
export function buildInstalledAnswer(
  part: SnapshotPart,
  from: string,
  matchIndex: number,
): RaftEnvelope {
  const { term, sentAt } = part;
  const message = { kind: 'append-answer', term, from, success: true, matchIndex, sentAt } as const;
  return { to: part.from, message };
}

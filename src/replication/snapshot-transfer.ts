import type { RaftEnvelope, SnapshotAnswer, SnapshotPart } from './messages';
import type { SnapshotMetadata } from './raft-log';

/** Minimum number of characters in a part other than the last one. */
const MINIMUM_PART_CHARACTERS = 512 * 1024;

interface PartOrigin {
  readonly term: number;
  readonly from: string;
}

/** What a peer's answer requests. */
export type SnapshotAnswerKind =
  /** The next part. */
  | 'advanced'
  /** Nothing: the answer is outdated. */
  | 'unchanged'
  /** A new transfer: the peer has lost the parts that it received. */
  | 'lost';

/** Sends a snapshot to one peer in parts; each answer requests the next part. */
export class SnapshotSender {
  readonly metadata: SnapshotMetadata;
  readonly #rows: Iterator<string> | AsyncIterator<string>;
  #part = -1;
  #partRows: readonly string[] = [];
  #final = false;

  /** `rows` is read while parts are sent, so it must not change until then. */
  constructor(metadata: SnapshotMetadata, rows: Iterable<string> | AsyncIterable<string>) {
    this.metadata = metadata;
    this.#rows = Symbol.iterator in rows ? rows[Symbol.iterator]() : rows[Symbol.asyncIterator]();
  }

  classifyAnswer(answer: SnapshotAnswer): SnapshotAnswerKind {
    if (answer.lastIndex !== this.metadata.position.index) return 'unchanged';
    if (answer.nextPart === this.#part + 1 && !this.#final) return 'advanced';
    return answer.nextPart === 0 && this.#part > 0 ? 'lost' : 'unchanged';
  }

  async readNextPart(): Promise<void> {
    const rows: string[] = [];
    let size = 0;
    while (size < MINIMUM_PART_CHARACTERS && !this.#final) {
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

  /** Builds the current part; repeated calls build the same part. */
  buildPart({ term, from }: PartOrigin, sentAt: number): SnapshotPart {
    const { position, membership } = this.metadata;
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

export interface ReceivedSnapshot {
  readonly metadata: SnapshotMetadata;
  readonly rows: readonly string[];
}

/** Assembles the parts of one snapshot. */
export class SnapshotReceiver {
  #key = '';
  #rows: string[] = [];
  #nextPart = 0;

  /** Adds a part; returns the snapshot once complete. Ignores repeated and out-of-order parts. */
  addPart(part: SnapshotPart): ReceivedSnapshot | undefined {
    const key = snapshotKeyOf(part);
    if (key !== this.#key && part.part === 0) this.#reset(key);
    if (key !== this.#key || part.part !== this.#nextPart) return undefined;
    for (const row of part.rows) this.#rows.push(row);
    this.#nextPart += 1;
    if (!part.final) return undefined;
    const position = { index: part.lastIndex, term: part.lastTerm };
    const received = { metadata: { position, membership: part.membership }, rows: this.#rows };
    this.#reset('');
    return received;
  }

  /** Number of the next missing part of the snapshot that `part` belongs to. */
  nextPartOf(part: SnapshotPart): number {
    return snapshotKeyOf(part) === this.#key ? this.#nextPart : 0;
  }

  #reset(key: string): void {
    this.#key = key;
    this.#rows = [];
    this.#nextPart = 0;
  }
}

function snapshotKeyOf(part: SnapshotPart): string {
  return `${part.from} ${part.term} ${part.lastIndex}`;
}

/** Builds the answer that reports the last matching index after a snapshot installation. */
export function buildInstalledAnswer(
  part: SnapshotPart,
  from: string,
  matchIndex: number,
): RaftEnvelope {
  const { term, sentAt } = part;
  const message = { kind: 'append-answer', term, from, success: true, matchIndex, sentAt } as const;
  return { to: part.from, message };
}

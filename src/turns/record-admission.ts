import { MartenbayError } from '../core';
import { type TurnRecord, estimateTurnBytes } from './records';

/** Turns above this size are large: few of them are kept, and their writes are counted. */
export const SMALL_TURN_BYTES = 64 * 1024;

/** Turns up to this size are kept as long as there is memory for any. */
const ORDINARY_TURN_BYTES = 16 * 1024;

/** Share of the memory for turns that those above the ordinary size may use. */
const SMALL_TURN_SHARE = 0.8;

/** Use of a limit from which gateways are told of it; the rest is for turns that run already. */
const ANNOUNCED_SHARE = 0.9;

/** Copies of a turn that a store makes at once, to write it. */
export const COPIES_OF_TURN = 6;

export interface RecordAdmissionOptions {
  /** Memory for all turns that are kept, of any size; bytes. */
  readonly turnsBytes: number;
  /** Memory for all turns that are kept, beyond which large ones are refused; bytes. */
  readonly largeTurnsBytes: number;
  /** Memory to write turns with; bytes. One turn of any size is always written at a time. */
  readonly writingBytes: number;
}

/** The text by which gateways recognise the refusal of a store without memory. */
const STORE_FULL = 'the store has no memory for a turn of this size';

/** A store has no memory or disk for a turn at present. */
export class StoreFullError extends MartenbayError {
  constructor() {
    super([{ code: 'store_full', path: [], message: STORE_FULL }]);
  }
}

/** Whether a call failed because the store has no memory for the turn. */
export function isStoreFull(error: unknown): boolean {
  return error instanceof Error && error.message.includes(STORE_FULL);
}

/** Size of the large turns among `records`; bytes. Many small turns are no large one. */
export function largeTurnBytes(records: readonly TurnRecord[]): number {
  return records
    .map(estimateTurnBytes)
    .filter((bytes) => bytes > SMALL_TURN_BYTES)
    .reduce((sum, bytes) => sum + bytes, 0);
}

/** Turns to be kept. */
export interface RecordSizes {
  /** Size of all of them; bytes. */
  readonly totalBytes: number;
  /** Size of the largest one; bytes. */
  readonly largestBytes: number;
  /** Size of the large ones among them; bytes. */
  readonly largeBytes: number;
}

export function sizesOf(records: readonly TurnRecord[]): RecordSizes {
  const sizes = records.map(estimateTurnBytes);
  return {
    totalBytes: sizes.reduce((sum, bytes) => sum + bytes, 0),
    largestBytes: Math.max(0, ...sizes),
    largeBytes: largeTurnBytes(records),
  };
}

/** Decides whether a store has memory to keep turns. */
export class RecordAdmission {
  readonly #options: RecordAdmissionOptions;
  #writingBytes = 0;

  constructor(options: RecordAdmissionOptions) {
    this.#options = options;
  }

  /** Size up to which turns should be sent, with `keptBytes` kept so far; bytes. */
  largestTurnBytes(keptBytes: number): number {
    const fits = (turnBytes: number) => keptBytes <= this.#limitFor(turnBytes) * ANNOUNCED_SHARE;
    if (fits(Infinity)) return Infinity;
    if (fits(SMALL_TURN_BYTES)) return SMALL_TURN_BYTES;
    return fits(ORDINARY_TURN_BYTES) ? ORDINARY_TURN_BYTES : 0;
  }

  /**
   * Runs `write`, which writes turns of these sizes, with `keptBytes` kept so far; rejects with
   * {@link StoreFullError} if there is no memory for them.
   */
  async run<Result>(
    { totalBytes, largestBytes, largeBytes }: RecordSizes,
    keptBytes: number,
    write: () => Promise<Result>,
  ): Promise<Result> {
    if (keptBytes + totalBytes > this.#limitFor(largestBytes)) throw new StoreFullError();
    if (largeBytes === 0) return write();
    const { writingBytes } = this.#options;
    const copies = largeBytes * COPIES_OF_TURN;
    const isWritable = this.#writingBytes === 0 || this.#writingBytes + copies <= writingBytes;
    if (!isWritable) throw new StoreFullError();
    this.#writingBytes += copies;
    try {
      return await write();
    } finally {
      this.#writingBytes -= copies;
    }
  }

  /** Memory of all kept turns beyond which turns of this size are refused; bytes. */
  #limitFor(turnBytes: number): number {
    const { turnsBytes, largeTurnsBytes } = this.#options;
    if (turnBytes <= ORDINARY_TURN_BYTES) return turnsBytes;
    const smallTurnsBytes = turnsBytes * SMALL_TURN_SHARE;
    return turnBytes <= SMALL_TURN_BYTES
      ? smallTurnsBytes
      : Math.min(largeTurnsBytes, smallTurnsBytes);
  }
}

import type { TurnRecord } from './records';

/** Bytes that a cached turn takes besides its bodies, roughly. */
const TURN_BYTES = 500;

/** Whole turns that passed this process, the latest used kept; they never change. */
export class ChainCache {
  readonly #limitBytes: number;
  readonly #turns = new Map<string, TurnRecord>();
  #bytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  add(record: TurnRecord): void {
    if (this.#turns.has(record.id)) return;
    this.#turns.set(record.id, record);
    this.#bytes += sizeOf(record);
    for (const [id, oldest] of this.#turns) {
      if (this.#bytes <= this.#limitBytes) return;
      this.#turns.delete(id);
      this.#bytes -= sizeOf(oldest);
    }
  }

  get(id: string): TurnRecord | undefined {
    const record = this.#turns.get(id);
    if (record === undefined) return undefined;
    this.#turns.delete(id);
    this.#turns.set(id, record);
    return record;
  }
}

function sizeOf({ input, output }: TurnRecord): number {
  return TURN_BYTES + input.length + output.length;
}

import type { TurnRecord } from './records';

/** Estimated memory of a cached turn besides its input and output; bytes. */
const TURN_OVERHEAD_BYTES = 500;

/** Share of the cache that one turn may take; larger turns are not cached. */
const TURN_SHARE = 1 / 16;

/** LRU cache of completed turns, which are immutable. */
export class ChainCache {
  readonly #limitBytes: number;
  readonly #turns = new Map<string, TurnRecord>();
  #bytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  add(record: TurnRecord): void {
    if (this.#turns.has(record.id) || sizeOf(record) > this.#limitBytes * TURN_SHARE) return;
    this.#turns.set(record.id, record);
    this.#bytes += sizeOf(record);
    for (const [id, leastRecent] of this.#turns) {
      if (this.#bytes <= this.#limitBytes) return;
      this.#turns.delete(id);
      this.#bytes -= sizeOf(leastRecent);
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
  return TURN_OVERHEAD_BYTES + input.length + output.length;
}

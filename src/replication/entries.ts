import type { LogEntry } from './messages';

/** Place of one entry in the log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** Where a log without a snapshot begins. */
export const LOG_START: LogPosition = { index: 0, term: 0 };

/** The entries of one member in memory, behind the position that a snapshot covers. */
export class EntryList {
  #base: LogPosition;
  #entries: LogEntry[];

  constructor(base: LogPosition = LOG_START, entries: readonly LogEntry[] = []) {
    this.#base = base;
    this.#entries = [...entries];
  }

  /** Position up to which entries were dropped, since a snapshot covers them. */
  get base(): LogPosition {
    return this.#base;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex);
  }

  /** Term of the entry at `index`; -1 where it is not known. */
  termAt(index: number): number {
    if (index === this.#base.index) return this.#base.term;
    return this.#entries[index - this.#base.index - 1]?.term ?? -1;
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.#entries.push(entry);
  }

  /** Drops the entries from `index` on. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#base.index - 1);
  }

  /** Drops the entries up to `position`, all of them if the log holds another one there. */
  compactTo(position: LogPosition): void {
    const known = this.termAt(position.index) === position.term;
    this.#entries = known ? this.#entries.slice(position.index - this.#base.index) : [];
    this.#base = position;
  }

  /** Entries from `first` to `last`, both included, `limit` at most. */
  range(first: number, last: number, limit = Infinity): readonly LogEntry[] {
    const start = first - this.#base.index - 1;
    return this.#entries.slice(start, Math.min(last - this.#base.index, start + limit));
  }

  /** Lowest index known that carries the same term as `index` in an unbroken run. */
  startOfTerm(index: number): number {
    const term = this.termAt(index);
    let start = index;
    while (start > this.#base.index + 1 && this.termAt(start - 1) === term) start -= 1;
    return start;
  }
}

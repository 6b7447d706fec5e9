import type { LogEntry } from './messages';

export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** Base of a log without a snapshot. */
export const LOG_START: LogPosition = { index: 0, term: 0 };

/** In-memory log entries that follow the position covered by a snapshot. */
export class EntryList {
  #base: LogPosition;
  #entries: LogEntry[];

  constructor(base: LogPosition = LOG_START, entries: readonly LogEntry[] = []) {
    this.#base = base;
    this.#entries = [...entries];
  }

  /** Last position covered by a snapshot, whose entries are dropped. */
  get base(): LogPosition {
    return this.#base;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex);
  }

  /** Term of the entry at `index`, or -1 if unknown. */
  termAt(index: number): number {
    if (index === this.#base.index) return this.#base.term;
    return this.#entries[index - this.#base.index - 1]?.term ?? -1;
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.#entries.push(entry);
  }

  /** Drops the entry at `index` and all later ones. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#base.index - 1);
  }

  /** Drops the entries up to `position`, or all entries if the term at that index differs. */
  compactTo(position: LogPosition): void {
    const matches = this.termAt(position.index) === position.term;
    this.#entries = matches ? this.#entries.slice(position.index - this.#base.index) : [];
    this.#base = position;
  }

  /** Entries from `first` to `last`, both inclusive, at most `limit`. */
  range(first: number, last: number, limit = Infinity): readonly LogEntry[] {
    const start = first - this.#base.index - 1;
    return this.#entries.slice(start, Math.min(last - this.#base.index, start + limit));
  }

  /** First index of the contiguous entries that have the same term as `index`. */
  startOfTerm(index: number): number {
    const term = this.termAt(index);
    let start = index;
    while (start > this.#base.index + 1 && this.termAt(start - 1) === term) start -= 1;
    return start;
  }
}

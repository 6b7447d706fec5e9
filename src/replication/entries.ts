import type { LogEntry } from './messages';

/** The entries of one member in memory; indexes start at 1. */
export class EntryList {
  #entries: LogEntry[];

  constructor(entries: readonly LogEntry[] = []) {
    this.#entries = [...entries];
  }

  get lastIndex(): number {
    return this.#entries.length;
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex);
  }

  /** Term of the entry at `index`; 0 before the first, -1 past the last. */
  termAt(index: number): number {
    if (index === 0) return 0;
    return this.#entries[index - 1]?.term ?? -1;
  }

  append(entries: readonly LogEntry[]): void {
    this.#entries.push(...entries);
  }

  /** Drops the entries from `index` on. */
  truncateFrom(index: number): void {
    this.#entries.length = index - 1;
  }

  /** Entries from `first` to `last`, both included, `limit` at most. */
  range(first: number, last: number, limit = Infinity): readonly LogEntry[] {
    return this.#entries.slice(first - 1, Math.min(last, first - 1 + limit));
  }

  /** Lowest index that carries the same term as `index` in an unbroken run. */
  startOfTerm(index: number): number {
    const term = this.termAt(index);
    let start = index;
    while (start > 1 && this.termAt(start - 1) === term) start -= 1;
    return start;
  }
}

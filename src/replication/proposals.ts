import { ReplicationError } from './errors';
import type { LogEntry } from './messages';

interface Proposal<Result> {
  readonly term: number;
  readonly resolve: (result: Result) => void;
  readonly reject: (error: ReplicationError) => void;
}

/** Commands that this member proposed and whose results are awaited, by index. */
export class Proposals<Result> {
  readonly #waiting = new Map<number, Proposal<Result>>();

  /** Resolves with the result of the entry at `index`, if it is the one of this term. */
  wait(index: number, term: number): Promise<Result> {
    return new Promise((resolve, reject) => {
      this.#waiting.set(index, { term, resolve, reject });
    });
  }

  /** Settles what waits for an entry that was applied. */
  settle(entry: LogEntry, result: Result): void {
    const proposal = this.#waiting.get(entry.index);
    this.#waiting.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else proposal?.reject(new ReplicationError('uncertain', 'another leader wrote at this index'));
  }

  rejectAll(message: string): void {
    const waiting = [...this.#waiting.values()];
    this.#waiting.clear();
    for (const proposal of waiting) proposal.reject(new ReplicationError('uncertain', message));
  }
}

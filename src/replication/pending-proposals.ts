import { ReplicationError } from './errors';
import type { LogEntry } from './messages';

interface PendingProposal<Result> {
  readonly term: number;
  readonly resolve: (result: Result) => void;
  readonly reject: (error: ReplicationError) => void;
}

/** Commands proposed by this member that await their results, by index. */
export class PendingProposals<Result> {
  readonly #pending = new Map<number, PendingProposal<Result>>();

  /** Resolves with the result of the entry at `index`; rejects if its term differs. */
  resultOf(index: number, term: number): Promise<Result> {
    return new Promise((resolve, reject) => {
      this.#pending.set(index, { term, resolve, reject });
    });
  }

  /** Resolves or rejects the proposal at the index of an applied entry. */
  settle(entry: LogEntry, result: Result): void {
    const proposal = this.#pending.get(entry.index);
    this.#pending.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else
      proposal?.reject(
        new ReplicationError('uncertain', 'another entry was committed at this index'),
      );
  }

  rejectAll(message: string): void {
    const proposals = [...this.#pending.values()];
    this.#pending.clear();
    for (const proposal of proposals) proposal.reject(new ReplicationError('uncertain', message));
  }
}

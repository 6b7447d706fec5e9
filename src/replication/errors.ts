import { MartenbayError } from '../core';

/** Why a proposal has no result here. */
export type ProposalFailure =
  /** This member does not lead; nothing was proposed. */
  | 'not-leader'
  /** Leadership ended before the commit; the command may still take effect. */
  | 'uncertain';

/** A command was not committed, or not known to be. */
export class ReplicationError extends MartenbayError {
  readonly failure: ProposalFailure;

  constructor(failure: ProposalFailure, message: string) {
    super([{ code: failure, path: [], message }]);
    this.failure = failure;
  }
}

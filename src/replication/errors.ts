import { MartenbayError } from '../core';

/** Why a proposal returned no result. */
export type ProposalFailure =
  /** This member is not the leader; the command was not proposed. */
  | 'not-leader'
  /** The outcome is unknown: the command may still be committed. */
  | 'uncertain';

/** Thrown when a command was not proposed or its commit is uncertain. */
export class ReplicationError extends MartenbayError {
  readonly failure: ProposalFailure;

  constructor(failure: ProposalFailure, message: string) {
    super([{ code: failure, path: [], message }]);
    this.failure = failure;
  }
}

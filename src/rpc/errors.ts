import { MartenbayError } from '../core';

/** Why a call failed, and whether it may have been executed. */
export type RpcFailure =
  /** The call was not sent or no connection was established; it was not executed. */
  | 'unreachable'
  /** The connection was lost or the call timed out; it may have been executed. */
  | 'lost'
  /** The other process has no handler for the call, or the handler failed. */
  | 'failed'
  /** The peer sent an invalid frame. */
  | 'protocol';

/** Error of a call to another process of the cluster. */
export class RpcError extends MartenbayError {
  readonly failure: RpcFailure;

  constructor(failure: RpcFailure, message: string, options: ErrorOptions = {}) {
    super([{ code: failure, path: [], message }], options);
    this.failure = failure;
  }

  static of(failure: RpcFailure, message: string): RpcError {
    return new RpcError(failure, message);
  }
}

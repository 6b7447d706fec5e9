import { MartenbayError } from '../core';

/** Why a call to another process of the system came to nothing. */
export type RpcFailure =
  /** No connection could be made, so the call was not carried out. */
  | 'unreachable'
  /** The connection was lost or the time is over; the call may have been carried out. */
  | 'lost'
  /** The other process carried the call out and failed. */
  | 'failed'
  /** The other side speaks another protocol. */
  | 'protocol';

/** Error of the connections between the system's own processes. */
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

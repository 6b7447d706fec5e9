import type { Refusal } from '../decisions';
import type { BodyFailure, Exchange } from './exchange';

/** Time after which a caller may find room for its body, at this gateway or another one. */
const MEMORY_RETRY_SECONDS = 0.3;

const REFUSALS: Readonly<Record<Exclude<BodyFailure, 'disconnected'>, Refusal>> = {
  'too-large': {
    status: 413,
    code: 'body_too_large',
    message: 'the body is longer than the configuration allows; send less',
  },
  'no-memory': {
    status: 503,
    code: 'no_memory',
    message: 'this process has no memory for the body at present; the request was not run',
    retryAfterSeconds: MEMORY_RETRY_SECONDS,
  },
  late: {
    status: 408,
    code: 'time_over',
    message: 'the body did not arrive in time; the request was not run',
  },
};

/** Ends a request whose body could not be read. */
export function endWithoutBody(exchange: Exchange, failure: BodyFailure): void {
  if (failure === 'disconnected') exchange.log('gone');
  else exchange.refuse(REFUSALS[failure]);
}

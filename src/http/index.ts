export { breakOff } from './break-off';
export { IncompleteResponseError, checkedBody, forwardBody } from './checked-body';
export { findIncompleteness } from './completeness';
export { type ConnectionEnding, ConnectionMonitor } from './connection-ending';
export { ConnectionGuard, type ConnectionGuardOptions } from './connection-guard';
export { EventBoundary } from './event-boundary';
export { type HttpCall, HttpClient, type HttpResponse } from './http-client';
export { IdleConnections } from './idle-connections';
export { closeAfterUnreadBody } from './lingering-close';
export { PersistentListener, type PersistentListenerOptions } from './persistent-listener';
export {
  type MemoryBoundBodyOptions,
  ResponseMemoryError,
  memoryBoundBody,
} from './memory-bound-body';
export { readBeginning, readBody } from './read-body';
export {
  RequestBody,
  type RequestBodyOptions,
  type RequestBodyOutcome,
  isTooLong,
} from './request-body';
export { resetConnection } from './reset-connection';
export { type ResponseFraming, framingOf, isEventStream } from './response-framing';
export type { ResponseLimit, ResponseLimits } from './response-limits';
export {
  type EventStreamRecord,
  type ResponseRecord,
  ResponseRecorder,
  type ResponseRecorderOptions,
} from './response-recorder';
export { SequentialRequests } from './sequential-requests';
export { UNREAD_RESPONSE_MILLISECONDS, untilWritten, whenWritten } from './written-response';

export { breakOff } from './break-off';
export { findIncompleteness } from './completeness';
export { type ConnectionEnding, ConnectionMonitor } from './connection-ending';
export { EventBoundary } from './event-boundary';
export { type ResponseFraming, framingOf, isEventStream } from './response-framing';
export {
  type EventStreamRecord,
  type ResponseRecord,
  ResponseRecorder,
  type ResponseRecorderOptions,
} from './response-recorder';

import type { ResponseRecord } from './response-recorder';

/**
 * Why a response is not complete although the HTTP client reports its end; undefined if it is. HTTP
 * clients check lengths and last chunks. A close in order ends a response without them (RFC 9112,
 * section 8), a reset does not. A stream of events ends after an event, whatever delimits it, since
 * the HTTP server of a failed program may still end the stream as its framing asks.
 */
export function findIncompleteness(record: ResponseRecord): string | undefined {
  const { framing, ending, eventStream } = record;
  if (framing === 'connection' && ending === 'reset') {
    return 'the connection was reset before the end of the answer';
  }
  if (eventStream === undefined) return undefined;
  if (eventStream.endsInsideEvent) return 'the stream ended inside an event';
  if (framing === 'connection' && ending === 'closed' && eventStream.events === 0) {
    return 'the connection was closed before the first event';
  }
  return undefined;
}

import type { IncomingHttpHeaders } from 'node:http';

/** What delimits the body of a response (RFC 9112, section 6.3). */
export type ResponseFraming = 'length' | 'chunked' | 'connection';

export function framingOf(headers: IncomingHttpHeaders): ResponseFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}

/** Whether the body is a stream of server-sent events (WHATWG HTML, section 9.2). */
export function isEventStream(headers: IncomingHttpHeaders): boolean {
  return EVENT_STREAM_PATTERN.test(headers['content-type'] ?? '');
}

const EVENT_STREAM_PATTERN = /^\s*text\/event-stream\s*(;|$)/i;

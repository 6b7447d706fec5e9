import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../core';
import type { MemoryReclaimer } from '../resources';
import { takeBodyChunks } from './body-chunks';

/** What is still read, and dropped, after the response to a request whose body is not wanted. */
const LINGER_BYTES = 256 * 1024;

const LINGER_MILLISECONDS = 1000;

/** A body of which no more than this is outstanding is read to its end, to keep the connection. */
const DROPPED_BODY_BYTES = 64 * 1024;

export interface UnreadBodyOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly clock: Clock;
  readonly reclaimer: MemoryReclaimer;
}

/**
 * Prepares a response that is sent before the body of its request was read. Unless the rest of the
 * body is known to be short, the connection closes after the response, in a way that lets the client
 * read it: a close with unread bytes would reset the connection and discard the response (RFC 9112,
 * section 9.6). The client cannot keep the connection by sending on.
 */
export function closeAfterUnreadBody(options: UnreadBodyOptions): void {
  const { request, response, clock, reclaimer } = options;
  if (request.complete || isShort(request)) return;
  response.shouldKeepAlive = false;
  const { socket } = request;
  let droppedBytes = 0;
  takeBodyChunks(request, ({ length }) => {
    droppedBytes += length;
    reclaimer.recordReleased(length);
    if (droppedBytes > LINGER_BYTES) socket.destroy();
  });
  // Makes Node.js emit the rest of the body; it would read a body without a reader to its end.
  request.read(0);
  request.once('end', () => {
    socket.destroy();
  });
  // Node.js calls this once the response has been written.
  socket.destroySoon = () => {
    socket.end();
    socket.once(
      'close',
      clock.after(LINGER_MILLISECONDS, () => {
        socket.destroy();
      }),
    );
  };
}

function isShort({ headers }: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined || headers.expect !== undefined) return false;
  return Number(headers['content-length'] ?? 0) <= DROPPED_BODY_BYTES;
}

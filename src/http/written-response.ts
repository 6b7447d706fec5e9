import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Clock, repeat } from '../core';

/** Time without progress after which a response that is not read is given up. */
export const UNREAD_RESPONSE_MILLISECONDS = 10_000;

export interface WrittenResponseOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly clock: Clock;
}

/**
 * Resolves once a response that was ended has been handed to the operating system, or its
 * connection is closed. Closes the connection if the caller stops reading.
 */
export async function untilWritten(options: WrittenResponseOptions): Promise<void> {
  const { request, response, clock } = options;
  const { socket } = request;
  if (!response.writableEnded || response.closed || socket.destroyed) return;
  let unreadBytes = -1;
  const cancel = repeat(clock, UNREAD_RESPONSE_MILLISECONDS, () => {
    if (socket.writableLength === unreadBytes) socket.destroy();
    unreadBytes = socket.writableLength;
  });
  // A response that waits for an earlier one on its connection has no event when that is closed.
  await new Promise<void>((resolve) => {
    const finish = () => {
      response.off('close', finish);
      socket.off('close', finish);
      resolve();
    };
    response.once('close', finish);
    socket.once('close', finish);
  });
  cancel();
}

/** Resolves once a handler has ended and its response was written, or the connection has closed. */
export async function whenWritten(response: ServerResponse, handler: Promise<void>): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    response.once('close', resolve);
  });
  await handler;
  if (!response.closed) await closed;
}

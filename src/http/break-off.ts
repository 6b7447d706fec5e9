import type { ServerResponse } from 'node:http';
import { resetConnection } from './reset-connection';

/**
 * Ends a response so that its receiver sees that it is not complete. Without chunks, as for HTTP/1.0,
 * an orderly close may be the regular end of the body.
 */
export function breakOff(response: ServerResponse): void {
  const { socket } = response;
  if (response.headersSent && !response.chunkedEncoding && socket !== null) resetConnection(socket);
  response.destroy();
}

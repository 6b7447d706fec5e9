import type { Socket } from 'node:net';

/**
 * Closes a connection so that its receiver sees a reset. Node.js can't reset a connection that is
 * shutting down, and would leave its handle open; such a one is closed in order.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Requests of one connection that may wait for the one before them. */
const WAITING_LIMIT = 64;

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly start: () => void;
}

/**
 * Serves the requests of each connection one after the other. Clients may send requests without
 * waiting for responses (RFC 9112, section 9.3.2); further ones are left unread meanwhile. A
 * connection on which too many were sent at once is closed.
 */
export class SequentialRequests {
  /** The requests that wait, of each connection with a request that is being served. */
  readonly #waiting = new Map<Socket, WaitingRequest[]>();

  /** Whether a later request on the same connection has been read and waits. */
  hasFollowing(request: IncomingMessage): boolean {
    const last = this.#waiting.get(request.socket)?.at(-1);
    return last !== undefined && last.request !== request;
  }

  /** Whether the request waits for earlier ones on its connection. */
  isWaiting(request: IncomingMessage): boolean {
    const waiting = this.#waiting.get(request.socket) ?? [];
    return waiting.some((entry) => entry.request === request);
  }

  /**
   * Calls `serve` once the requests before this one on its connection have been served, unless the
   * connection is closed by then.
   */
  async run(request: IncomingMessage, serve: () => Promise<void>): Promise<void> {
    const { socket } = request;
    const turn = this.#awaitTurn(request);
    if (turn === undefined) return;
    await turn;
    try {
      if (!socket.destroyed) await serve();
    } finally {
      this.#startNext(socket);
    }
  }

  /** Undefined if the request is dropped, since its connection is closed. */
  #awaitTurn(request: IncomingMessage): Promise<void> | undefined {
    const { socket } = request;
    if (socket.destroyed) return undefined;
    const waiting = this.#waiting.get(socket);
    if (waiting === undefined) {
      this.#waiting.set(socket, []);
      return Promise.resolve();
    }
    if (waiting.length >= WAITING_LIMIT) {
      socket.destroy();
      return undefined;
    }
    this.#pauseSoon(socket);
    return new Promise((start) => {
      waiting.push({ request, start });
    });
  }

  #startNext(socket: Socket): void {
    const waiting = this.#waiting.get(socket);
    const next = waiting?.shift();
    if (waiting === undefined || next === undefined) {
      this.#waiting.delete(socket);
      if (socket.isPaused() && !socket.destroyed) socket.resume();
      return;
    }
    if (waiting.length > 0) this.#pauseSoon(socket);
    next.start();
  }

  /** Node.js resumes the connection after each request that it has read and each response. */
  #pauseSoon(socket: Socket): void {
    setImmediate(() => {
      if (!socket.destroyed && (this.#waiting.get(socket)?.length ?? 0) > 0) socket.pause();
    });
  }
}

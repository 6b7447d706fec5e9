import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  /** Requests whose responses have not been handed to the operating system completely. */
  openExchanges: number;
  /**
   * Bytes received when the last exchange ended; more have begun another request. Undefined before
   * the first exchange, whose request is expected right after the connection was opened.
   */
  bytesReadAtRest: number | undefined;
}

/**
 * Closes the idle connections of an HTTP server. Node's `closeIdleConnections`, which `close` calls
 * too, also closes connections whose response has been ended but not written, because its recipient
 * reads slowly; it is replaced for the given server.
 */
export class IdleConnections {
  readonly #connections = new Map<Socket, ConnectionState>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#add(socket);
    });
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.#beginExchange(request.socket, response);
    });
    server.closeIdleConnections = () => {
      this.close();
    };
  }

  /** Spares connections with a response to be written or a request that is expected or has begun. */
  close(): void {
    for (const [socket, { openExchanges, bytesReadAtRest }] of this.#connections) {
      const isIdle = openExchanges === 0 && socket.bytesRead === bytesReadAtRest;
      if (isIdle && socket.writableLength === 0) socket.destroy();
    }
  }

  #add(socket: Socket): void {
    this.#connections.set(socket, { openExchanges: 0, bytesReadAtRest: undefined });
    socket.once('close', () => {
      this.#connections.delete(socket);
    });
  }

  #beginExchange(socket: Socket, response: ServerResponse): void {
    const state = this.#connections.get(socket);
    if (state === undefined) return;
    state.openExchanges += 1;
    response.once('close', () => {
      state.openExchanges -= 1;
      state.bytesReadAtRest = socket.bytesRead;
    });
  }
}

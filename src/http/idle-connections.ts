import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Inactivity after which the rest of a response is given up while the server stops. */
const UNREAD_RESPONSE_TIMEOUT_MILLISECONDS = 3000;

interface ConnectionState {
  /** Responses that have not been handed to the operating system completely. */
  readonly openResponses: Set<ServerResponse>;
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
      this.#beginExchange(request, response);
    });
    server.closeIdleConnections = () => {
      this.close();
    };
  }

  get hasConnections(): boolean {
    return this.#connections.size > 0;
  }

  /**
   * Spares connections with a response to be written or a request that is expected or has begun. A
   * response that was ended is given up once its recipient stops reading.
   */
  close(): void {
    for (const [socket, { openResponses, bytesReadAtRest }] of this.#connections) {
      if (openResponses.size > 0) {
        const areEnded = [...openResponses].every(({ writableEnded }) => writableEnded);
        if (areEnded)
          socket.setTimeout(UNREAD_RESPONSE_TIMEOUT_MILLISECONDS, () => socket.destroy());
      } else if (socket.bytesRead === bytesReadAtRest && socket.writableLength === 0) {
        socket.destroy();
      }
    }
  }

  #add(socket: Socket): void {
    this.#connections.set(socket, { openResponses: new Set(), bytesReadAtRest: undefined });
    socket.once('close', () => {
      this.#connections.delete(socket);
    });
  }

  #beginExchange(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const state = this.#connections.get(socket);
    if (state === undefined) return;
    state.openResponses.add(response);
    response.once('close', () => {
      state.openResponses.delete(response);
      state.bytesReadAtRest = socket.bytesRead;
    });
    // The body of a request may arrive after its response.
    request.once('close', () => {
      if (state.openResponses.size === 0) state.bytesReadAtRest = socket.bytesRead;
    });
  }
}

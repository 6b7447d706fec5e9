import type { Socket } from 'node:net';

/** How the other side has ended a connection; `reset` includes every error of the socket. */
export type ConnectionEnding = 'open' | 'closed' | 'reset';

/**
 * Observes how a connection ends. HTTP clients take a reset within a response that its connection
 * delimits for the end of the response.
 */
export class ConnectionMonitor {
  static readonly #monitors = new WeakMap<Socket, ConnectionMonitor>();
  readonly #socket: Socket;
  #ending: ConnectionEnding = 'open';

  /** Returns the monitor of a socket, which sees each event before listeners added earlier. */
  static of(socket: Socket): ConnectionMonitor {
    const monitor = this.#monitors.get(socket) ?? new ConnectionMonitor(socket);
    this.#monitors.set(socket, monitor);
    return monitor;
  }

  private constructor(socket: Socket) {
    socket.prependListener('error', () => {
      this.#end('reset');
    });
    this.#socket = socket;
    socket.prependListener('end', () => {
      this.recordEnd();
    });
  }

  /** Called at the socket's `end` if its listeners learn of it later. */
  recordEnd(): void {
    // Node emits 'end' instead of an error for a reset that arrives together with data, because libuv
    // only reports the hang-up. Such a socket has no remote address any more.
    this.#end(this.#socket.remoteAddress === undefined ? 'reset' : 'closed');
  }

  get ending(): ConnectionEnding {
    return this.#ending;
  }

  #end(ending: ConnectionEnding): void {
    if (this.#ending === 'open') this.#ending = ending;
  }
}

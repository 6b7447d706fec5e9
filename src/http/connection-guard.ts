import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Server, Socket } from 'node:net';
import type { Clock, Metrics } from '../core';

export interface ConnectionGuardOptions {
  /** Label of the metrics. */
  readonly listener: string;
  /** Connections that are open at once. */
  readonly limit: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

interface GuardedConnection {
  /** Monotonic time since which it rests or its request arrives; milliseconds. */
  since: number;
  /** Whether a whole message has arrived on it. */
  isProven: boolean;
  /** The requests that were not answered yet. */
  readonly requests: Set<IncomingMessage>;
}

/**
 * Bounds the connections of a listener. When there are too many, closes the one that has rested, or
 * whose request has been arriving, for the longest time; those that never brought a whole message
 * first. A connection whose request is being served stays; if all are such, the new one is closed.
 */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #connections = new Map<Socket, GuardedConnection>();

  constructor(server: Server, options: ConnectionGuardOptions) {
    this.#options = options;
    const { listener, metrics } = options;
    metrics.gauge(`connections{listener="${listener}"}`, () => this.#connections.size);
    server.on('connection', (socket: Socket) => {
      this.#add(socket);
    });
    const begin = (request: IncomingMessage, response: ServerResponse) => {
      this.#beginRequest(request, response);
    };
    server.on('request', begin);
    server.on('checkContinue', begin);
  }

  /** Called when a whole message has arrived on a connection that does not speak HTTP. */
  recordMessage(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.since = this.#options.clock.monotonic();
    connection.isProven = true;
  }

  #add(socket: Socket): void {
    const { clock, limit, listener, metrics } = this.#options;
    const requests = new Set<IncomingMessage>();
    this.#connections.set(socket, { since: clock.monotonic(), isProven: false, requests });
    socket.once('close', () => {
      this.#connections.delete(socket);
    });
    if (this.#connections.size <= limit) return;
    const closed = this.#findRemovable(socket) ?? socket;
    metrics.count(`connections_closed_total{listener="${listener}"}`);
    this.#connections.delete(closed);
    closed.destroy();
  }

  #beginRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    const { clock } = this.#options;
    connection.requests.add(request);
    connection.since = clock.monotonic();
    response.once('close', () => {
      connection.requests.delete(request);
      connection.since = clock.monotonic();
      connection.isProven = true;
    });
  }

  #findRemovable(added: Socket): Socket | undefined {
    let found: Socket | undefined;
    let oldest: GuardedConnection | undefined;
    for (const [socket, connection] of this.#connections) {
      if (socket === added || isServed(connection)) continue;
      if (oldest !== undefined && !precedes(connection, oldest)) continue;
      found = socket;
      oldest = connection;
    }
    return found;
  }
}

function isServed({ requests }: GuardedConnection): boolean {
  return [...requests].some(({ complete }) => complete);
}

function precedes(left: GuardedConnection, right: GuardedConnection): boolean {
  if (left.isProven !== right.isProven) return right.isProven;
  return left.since < right.since;
}

import type { Client as ClientType, Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client.js';
import { type Component, type Logger, type Metrics, parseAddress } from '../core';
import { type ConnectionEnding, ConnectionMonitor } from '../http';
import { FramingGuard } from './framing-guard';
import type { TargetState } from './state';
import { TargetSocket } from './target-socket';

/** A target accepts a connection within about 1 ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Idle time after which a connection is closed unless the target sends a keep-alive timeout. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 20_000;

/** Margin by which a connection is closed before the keep-alive timeout of the target. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1000;

/** A connection to a target that carries one request at a time. */
export interface TargetConnection {
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void;
  /**
   * How the target has ended the connection. undici reports a response that is delimited by the end of
   * the connection as complete even if the connection was reset.
   */
  ending(): ConnectionEnding;
  /** Called before the response is paused. */
  beforePause(): void;
  /** Calls `resume`, which resumes the response. */
  resume(resume: () => void): void;
  /** Returns the connection to the pool after a complete response, unless the target has restarted. */
  release(): void;
  /** Closes the connection, whose state is unknown. */
  discard(): void;
}

/** Pool of idle connections to targets. */
export class TargetConnectionPool implements Component {
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #idle = new Map<string, Client[]>();
  /** The latest socket of each client. */
  readonly #sockets = new WeakMap<Client, TargetSocket>();
  /** The guard of the response that each client receives. */
  readonly #guards = new WeakMap<Client, (receivedBytes: number) => void>();

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Returns the most recently used idle connection, or opens one. */
  acquire(state: TargetState): TargetConnection {
    const { target } = state;
    const key = `${target.id} ${target.address}`;
    const client = this.#idle.get(key)?.pop() ?? this.#open(key, target.address);
    let isReturned = false;
    return {
      dispatch: (options, handler) => {
        client.dispatch(options, this.#guard(client, handler));
      },
      ending: () => {
        const socket = this.#sockets.get(client);
        return socket === undefined ? 'open' : ConnectionMonitor.of(socket).ending;
      },
      beforePause: () => this.#sockets.get(client)?.holdEnd(),
      resume: (resume) => this.#sockets.get(client)?.releaseEnd(resume),
      release: () => {
        if (isReturned) return;
        isReturned = true;
        if (state.isRetired) this.#close(client);
        else this.#returnIfOpen(key, client);
      },
      discard: () => {
        if (isReturned) return;
        isReturned = true;
        this.#close(client);
      },
    };
  }

  /** Whether a request to the target would not have to open a connection. */
  hasIdle({ target }: TargetState): boolean {
    return (this.#idle.get(`${target.id} ${target.address}`)?.length ?? 0) > 0;
  }

  /** Closes the idle connections of a draining, removed or restarted target. */
  closeIdle({ target }: TargetState): void {
    const key = `${target.id} ${target.address}`;
    for (const client of this.#idle.get(key) ?? []) this.#close(client);
    this.#idle.delete(key);
  }

  stop(): void {
    for (const clients of this.#idle.values()) {
      for (const client of clients) this.#close(client);
    }
    this.#idle.clear();
  }

  #open(key: string, address: string): Client {
    this.#metrics.count('target_connections_opened_total');
    const client: Client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: createConnector(address, () => {
        const socket = new TargetSocket((error) => {
          const stack = error instanceof Error ? error.stack : undefined;
          this.#logger.error({ event: 'target-connection-failed', address, stack });
          this.#metrics.count('target_connections_failed_total');
        });
        this.#observe(client, socket);
        return socket;
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    });
    client.on('disconnect', () => {
      const idle = this.#idle.get(key);
      const index = idle?.indexOf(client) ?? -1;
      if (index >= 0) idle?.splice(index, 1);
      this.#close(client);
    });
    return client;
  }

  /** Must be called before the HTTP client adds its listeners to the socket. */
  #observe(client: Client, socket: TargetSocket): void {
    this.#sockets.set(client, socket);
    ConnectionMonitor.of(socket);
    socket.on('readable', () => this.#guards.get(client)?.(socket.bytesRead));
  }

  #guard(client: Client, handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    const onExcess = () => {
      this.#metrics.count('target_framing_excesses_total');
    };
    const guard = new FramingGuard({ handler, onExcess });
    const socket = this.#sockets.get(client);
    const startedAtBytes = socket === undefined || socket.destroyed ? 0 : socket.bytesRead;
    this.#guards.set(client, (receivedBytes) => {
      guard.check(receivedBytes - startedAtBytes);
    });
    return guard;
  }

  #returnIfOpen(key: string, client: Client): void {
    const socket = this.#sockets.get(client);
    if (socket === undefined) {
      this.#returnToPool(key, client);
      return;
    }
    // The HTTP client closes a connection whose end the target has announced after this call.
    queueMicrotask(() => {
      if (socket.destroyed) this.#close(client);
      else this.#returnToPool(key, client);
    });
  }

  #returnToPool(key: string, client: Client): void {
    if (client.destroyed || client.closed) return;
    const idle = this.#idle.get(key) ?? [];
    idle.push(client);
    this.#idle.set(key, idle);
  }

  #close(client: Client): void {
    if (client.destroyed) return;
    client.destroy().catch((error: unknown) => {
      this.#logger.debug({ event: 'connection-not-closed', error: String(error) });
    });
  }
}

type Connector = Extract<ClientType.Options['connect'], (...parameters: never[]) => unknown>;

/**
 * undici ends a response at ECONNRESET if its connection is not kept alive, and fails an assertion if
 * the response is paused by then. Another code makes it report the error instead.
 */
function preventCompletionByReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'UND_ERR_SOCKET';
}

/** Creates a connector that calls `createSocket` before undici adds its listeners to the socket. */
function createConnector(address: string, createSocket: () => TargetSocket): Connector {
  const { host, port } = parseAddress(address);
  return (_options, callback) => {
    const socket = createSocket();
    socket.setNoDelay(true);
    socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS);
    socket.connect({ host, port });
    const onTimeout = () => {
      socket.destroy(
        new Error(`connection not established within ${CONNECT_TIMEOUT_MILLISECONDS} ms`),
      );
    };
    const onFailedConnect = (error: Error) => {
      callback(error, null);
    };
    socket.on('error', preventCompletionByReset);
    socket.once('timeout', onTimeout);
    socket.once('error', onFailedConnect);
    socket.once('connect', () => {
      socket.setTimeout(0);
      socket.off('timeout', onTimeout);
      socket.off('error', onFailedConnect);
      callback(null, socket);
    });
  };
}

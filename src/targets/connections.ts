import { connect } from 'node:net';
import type { Client as ClientType, Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client.js';
import { type Component, type Logger, type Metrics, parseAddress } from '../core';
import type { TargetState } from './state';

/** Longest time to open a connection; a target takes 1 ms. Milliseconds. */
const CONNECT_MILLISECONDS = 500;

/** Idle time after which a connection is closed where the target names none; milliseconds. */
const IDLE_MILLISECONDS = 20_000;

/** Time by which a connection is closed before the target would close it; milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** One connection to a target, which carries one request at a time. */
export interface TargetConnection {
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void;
  /**
   * Whether the connection ended with an error. undici takes an answer that the end of its
   * connection completes for whole even if that was a reset.
   */
  hasFailed(): boolean;
  /** Gives the connection back after a whole answer; another request may use it. */
  release(): void;
  /** Closes the connection: its state is not known. */
  discard(): void;
}

/** Connections to targets that are kept between requests. */
export class TargetConnections implements Component {
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #idle = new Map<string, Client[]>();
  /** Clients whose socket has ended with an error. */
  readonly #failed = new WeakSet<Client>();

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** A kept connection, the latest used first, or a new one. */
  take({ target }: TargetState): TargetConnection {
    const key = `${target.id} ${target.address}`;
    const client = this.#idle.get(key)?.pop() ?? this.#open(key, target.address);
    let done = false;
    return {
      dispatch: (options, handler) => {
        client.dispatch(options, handler);
      },
      hasFailed: () => this.#failed.has(client),
      release: () => {
        if (done) return;
        done = true;
        if (!client.destroyed && !client.closed) this.#keep(key, client);
      },
      discard: () => {
        if (done) return;
        done = true;
        this.#close(client);
      },
    };
  }

  /** Closes the kept connections of a target that leaves. */
  forget({ target }: TargetState): void {
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
      connect: connectorTo(address, () => {
        this.#failed.add(client);
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    client.on('disconnect', () => {
      const idle = this.#idle.get(key);
      const place = idle?.indexOf(client) ?? -1;
      if (place >= 0) idle?.splice(place, 1);
      this.#close(client);
    });
    return client;
  }

  #keep(key: string, client: Client): void {
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
 * Opens sockets whose errors are told before undici hears of them. A reset that arrives together
 * with data shows as an end to Node, since libuv reports the hang-up alone; the socket then has no
 * peer any more, while after an end it still has.
 */
function connectorTo(address: string, onError: () => void): Connector {
  const { host, port } = parseAddress(address);
  return (_options, callback) => {
    const socket = connect({ host, port, noDelay: true, timeout: CONNECT_MILLISECONDS });
    const onTimeout = () => {
      socket.destroy(new Error(`no connection in ${CONNECT_MILLISECONDS} ms`));
    };
    const onFailedConnect = (error: Error) => {
      callback(error, null);
    };
    socket.on('error', onError);
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) onError();
    });
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

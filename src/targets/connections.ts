import type { Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client.js';
import type { Component, Logger, Metrics } from '../core';
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
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_MILLISECONDS },
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

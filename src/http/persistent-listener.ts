import type { Server } from 'node:net';
import {
  type Address,
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  formatAddress,
} from '../core';

const FIRST_RETRY_MILLISECONDS = 100;

const LONGEST_RETRY_MILLISECONDS = 1000;

export interface PersistentListenerOptions {
  /** Name in the log. */
  readonly name: string;
  readonly server: Server;
  readonly address: Address;
  /** Connections that the operating system accepts ahead of the process. */
  readonly backlog?: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Makes a server listen. An address that is not available, as while another process uses it, is tried
 * again until the listener is stopped. Errors of a listening server, as of a connection that can't be
 * accepted, are logged.
 */
export class PersistentListener implements Component {
  readonly #options: PersistentListenerOptions;
  #retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  #cancelRetry: CancelTimer = () => undefined;
  #onAttempted: () => void = () => undefined;

  constructor(options: PersistentListenerOptions) {
    this.#options = options;
    const { server } = options;
    server.on('error', (error: NodeJS.ErrnoException) => {
      this.#onError(error);
    });
    server.on('listening', () => {
      this.#onListening();
    });
  }

  /** Resolves after the first attempt, whether or not the server listens. */
  start(): Promise<void> {
    return new Promise((resolve) => {
      this.#onAttempted = resolve;
      this.#listen();
    });
  }

  /** Attempts no more; the owner closes the server. */
  stop(): void {
    this.#cancelRetry();
  }

  get isListening(): boolean {
    return this.#options.server.listening;
  }

  #listen(): void {
    const { server, address, backlog } = this.#options;
    const { host, port } = address;
    server.listen({ host, port, ...(backlog === undefined ? {} : { backlog }) });
  }

  #onListening(): void {
    const { name, address, logger } = this.#options;
    if (this.#retryMilliseconds > FIRST_RETRY_MILLISECONDS) {
      logger.info({ event: 'address-available', listener: name, address: formatAddress(address) });
    }
    this.#onAttempted();
  }

  #onError(error: NodeJS.ErrnoException): void {
    const { name, address, clock, logger } = this.#options;
    const failure = { listener: name, address: formatAddress(address), error: error.message };
    if (this.isListening) {
      logger.warn({ event: 'listener-error', ...failure });
      return;
    }
    const retryMilliseconds = this.#retryMilliseconds;
    logger.warn({ event: 'address-unavailable', ...failure, retryMilliseconds });
    this.#retryMilliseconds = Math.min(retryMilliseconds * 2, LONGEST_RETRY_MILLISECONDS);
    this.#cancelRetry = clock.after(retryMilliseconds, () => {
      this.#listen();
    });
    this.#onAttempted();
  }
}

import { request } from 'undici';
import * as z from 'zod';
import {
  type Address,
  type Clock,
  type Component,
  type Logger,
  PeriodicTask,
  formatAddress,
  messageOf,
  startTimeout,
} from '../core';
import { readBody } from '../http';

/** The platform's response to `GET /`. */
const hostListSchema = z.object({
  hosts: z.array(z.looseObject({ host: z.string(), state: z.string() })),
});

const READ_TIMEOUT_MILLISECONDS = 1000;

const LIST_LIMIT_BYTES = 8 * 1024 * 1024;

export interface HostListReaderOptions {
  readonly address: Address;
  readonly intervalMilliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether to read the list; true only on the leader of the configuration group. */
  readonly isEnabled: () => boolean;
  /** Called after each read with the names of the hosts whose state is `leaving` or `live`. */
  readonly onHosts: (draining: readonly string[], live: readonly string[]) => Promise<void> | void;
}

/**
 * Polls the platform's host list. The list lags behind: it shows which hosts are leaving, but is no
 * proof that a host is up or down. A failed read is logged and changes nothing.
 */
export class HostListReader implements Component {
  readonly #options: HostListReaderOptions;
  readonly #task: PeriodicTask;

  constructor(options: HostListReaderOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, options.intervalMilliseconds, () => this.read());
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  async read(): Promise<void> {
    const { address, clock, logger, isEnabled, onHosts } = this.#options;
    if (!isEnabled()) return;
    const { controller, cancel } = startTimeout(clock, READ_TIMEOUT_MILLISECONDS);
    try {
      const url = `http://${formatAddress(address)}/`;
      const response = await request(url, { signal: controller.signal });
      const body = await readBody(response.body, LIST_LIMIT_BYTES);
      if (body === undefined) throw new Error(`a list of more than ${LIST_LIMIT_BYTES} bytes`);
      const { hosts } = hostListSchema.parse(JSON.parse(body.toString()));
      const hostsInState = (state: string) =>
        hosts.filter((entry) => entry.state === state).map((entry) => entry.host);
      await onHosts(hostsInState('leaving'), hostsInState('live'));
    } catch (error) {
      logger.warn({ event: 'host-list-unreadable', error: messageOf(error) });
    } finally {
      cancel();
    }
  }
}

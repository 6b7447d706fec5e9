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

/** The platform's list, as it answers `GET /`. */
const hostListSchema = z.object({
  hosts: z.array(z.looseObject({ host: z.string(), state: z.string() })),
});

/** Longest wait for the list; milliseconds. */
const READ_MILLISECONDS = 1000;

export interface HostListReaderOptions {
  readonly address: Address;
  readonly milliseconds: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether this host is the one to read the list: only the leader of the configuration does. */
  readonly reads: () => boolean;
  /** Told of the hosts that the list shows, by state. */
  readonly onHosts: (leaving: readonly string[], live: readonly string[]) => void;
}

/**
 * Reads the platform's list of hosts again and again. The list lags, so that it is a hint that a
 * host is to leave, and proves neither life nor death. While it can't be read nothing changes.
 */
export class HostListReader implements Component {
  readonly #options: HostListReaderOptions;
  readonly #task: PeriodicTask;

  constructor(options: HostListReaderOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, options.milliseconds, () => this.read());
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** Reads the list once. */
  async read(): Promise<void> {
    const { address, clock, logger, reads, onHosts } = this.#options;
    if (!reads()) return;
    const { controller, cancel } = startTimeout(clock, READ_MILLISECONDS);
    try {
      const url = `http://${formatAddress(address)}/`;
      const answer = await request(url, { signal: controller.signal });
      const { hosts } = hostListSchema.parse(await answer.body.json());
      const named = (state: string) =>
        hosts.filter((entry) => entry.state === state).map((entry) => entry.host);
      onHosts(named('leaving'), named('live'));
    } catch (error) {
      logger.warn({ event: 'host-list-unreadable', error: messageOf(error) });
    } finally {
      cancel();
    }
  }
}

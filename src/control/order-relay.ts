import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { ControlClient } from '../protocol';
import type { ProgramGroupReplica } from './group-log';

/** Timeout of a call to the leader of the configuration group. */
const OFFER_TIMEOUT_MILLISECONDS = 1000;

export interface OrderRelayOptions {
  readonly group: ProgramGroupReplica;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Interval at which orders that are still pending are offered again. */
  readonly retryIntervalMilliseconds: number;
}

/**
 * Offers the pending orders of a group that this host leads to the leader of the configuration
 * group: on request when there are new ones, and periodically while any are pending.
 */
export class OrderRelay implements Component {
  readonly #options: OrderRelayOptions;
  readonly #retryTask: PeriodicTask;
  #offering: Promise<void> | undefined;
  #offerRequested = false;

  constructor(options: OrderRelayOptions) {
    this.#options = options;
    this.#retryTask = new PeriodicTask(options.clock, options.retryIntervalMilliseconds, () =>
      this.offer(),
    );
  }

  start(): void {
    this.#retryTask.start();
  }

  async stop(): Promise<void> {
    this.#retryTask.stop();
    await this.#offering;
  }

  /** Offers all pending orders; calls made while an offer is in progress cause one more offer. */
  offer(): Promise<void> {
    this.#offerRequested = true;
    this.#offering ??= this.#offerAll().finally(() => {
      this.#offering = undefined;
    });
    return this.#offering;
  }

  async #offerAll(): Promise<void> {
    while (this.#offerRequested) {
      this.#offerRequested = false;
      await this.#offerOnce();
    }
  }

  async #offerOnce(): Promise<void> {
    const { group, client, logger } = this.#options;
    const orders = [...group.machine.tables.orders.values()];
    if (!group.log.serves || orders.length === 0) return;
    try {
      await client.call(
        (connection, signal) =>
          connection.groups.offerOrders.mutate({ group: group.name, orders }, { signal }),
        { deadlineMilliseconds: OFFER_TIMEOUT_MILLISECONDS },
      );
    } catch (error) {
      logger.debug({ event: 'orders-not-offered', group: group.name, error: messageOf(error) });
    }
  }
}

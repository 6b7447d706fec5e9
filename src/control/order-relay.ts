import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { ControlClient } from '../protocol';
import type { ProgramGroupMember } from './group';

/** Longest wait for the leader of the configuration; milliseconds. */
const OFFER_MILLISECONDS = 1000;

export interface OrderRelayOptions {
  readonly group: ProgramGroupMember;
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Pause after which orders that are still pending are offered again. */
  readonly repeatMilliseconds: number;
}

/**
 * Offers the pending orders of a group that this host leads to the leader of the configuration:
 * at once when there are new ones, and again while any are pending.
 */
export class OrderRelay implements Component {
  readonly #options: OrderRelayOptions;
  readonly #repeat: PeriodicTask;
  #offering: Promise<void> | undefined;
  #again = false;

  constructor(options: OrderRelayOptions) {
    this.#options = options;
    this.#repeat = new PeriodicTask(options.clock, options.repeatMilliseconds, () => this.offer());
  }

  start(): void {
    this.#repeat.start();
  }

  async stop(): Promise<void> {
    this.#repeat.stop();
    await this.#offering;
  }

  /** Offers what is pending, once more if this is asked for meanwhile. */
  offer(): Promise<void> {
    this.#again = true;
    this.#offering ??= this.#offerAll().finally(() => {
      this.#offering = undefined;
    });
    return this.#offering;
  }

  async #offerAll(): Promise<void> {
    while (this.#again) {
      this.#again = false;
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
        { deadlineMilliseconds: OFFER_MILLISECONDS },
      );
    } catch (error) {
      logger.debug({ event: 'orders-not-offered', group: group.name, error: messageOf(error) });
    }
  }
}

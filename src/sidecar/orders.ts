import { type Logger, messageOf } from '../core';
import type { Order } from '../state';
import type { TargetClient } from './target-client';

export interface OrderRunnerOptions {
  readonly client: TargetClient;
  readonly logger: Logger;
  /** Queries a quorum of the control hosts for the highest term that they have seen. */
  readonly fetchHighestTerm: () => Promise<number>;
  /** Reports completed orders to the leader, by id. */
  readonly confirm: (orders: readonly string[]) => Promise<void>;
}

/**
 * Executes orders of the leader at the target, with the leader's term as fencing token. Orders from
 * a lower term than the highest seen are rejected, since not every target checks the token. After
 * a start no term is known: before the first order the highest one is queried from a quorum, since
 * every leader was elected by a quorum.
 */
export class OrderRunner {
  readonly #options: OrderRunnerOptions;
  #highestTerm = 0;
  #termFetched = false;

  constructor(options: OrderRunnerOptions) {
    this.#options = options;
  }

  /**
   * Executes orders of one leader and confirms the accepted ones; resolves with whether all were.
   */
  async run(orders: readonly Order[], term: number): Promise<boolean> {
    if (!(await this.#ensureHighestTerm())) return false;
    if (term < this.#highestTerm) {
      this.#options.logger.warn({ event: 'orders-refused', term, highest: this.#highestTerm });
      return false;
    }
    this.#highestTerm = term;
    const completed: string[] = [];
    for (const order of orders) {
      if (await this.#execute(order, term)) completed.push(order.id);
    }
    if (completed.length > 0) await this.#options.confirm(completed);
    return completed.length === orders.length;
  }

  async #ensureHighestTerm(): Promise<boolean> {
    if (this.#termFetched) return true;
    const { fetchHighestTerm, logger } = this.#options;
    try {
      this.#highestTerm = Math.max(this.#highestTerm, await fetchHighestTerm());
      this.#termFetched = true;
    } catch (error) {
      logger.warn({ event: 'term-unknown', error: messageOf(error) });
    }
    return this.#termFetched;
  }

  async #execute(order: Order, term: number): Promise<boolean> {
    const { kind, program, target } = order;
    try {
      const response = await this.#options.client.requestJson('POST', '/orders', {
        kind,
        program,
        fence: term,
      });
      const accepted = response !== undefined;
      this.#options.logger.info({ event: 'order', kind, program, target, term, accepted });
      return accepted;
    } catch (error) {
      this.#options.logger.warn({ event: 'order-failed', kind, program, error: messageOf(error) });
      return false;
    }
  }
}

import { type Logger, messageOf } from '../core';
import type { Order } from '../state';
import type { TargetClient } from './target-client';

export interface OrderRunnerOptions {
  readonly client: TargetClient;
  readonly logger: Logger;
  /** Asks a quorum of the control hosts for the highest term that they know. */
  readonly learnTerm: () => Promise<number>;
  /** Tells the leader that orders were carried out. */
  readonly confirm: (orders: readonly string[]) => Promise<void>;
}

/**
 * Carries out orders at the target. Each carries the term of the leader that sent it; an order
 * from a lower term than the highest known is refused here, for targets that don't check it. Since
 * a sidecar that was restarted has seen no term, it asks a quorum before its first order: whoever
 * leads was elected by one.
 */
export class OrderRunner {
  readonly #options: OrderRunnerOptions;
  #highestTerm = 0;
  #learned = false;

  constructor(options: OrderRunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs the orders of one leader and confirms those that took effect; returns whether all did.
   */
  async run(orders: readonly Order[], term: number): Promise<boolean> {
    if (!(await this.#learn())) return false;
    if (term < this.#highestTerm) {
      this.#options.logger.warn({ event: 'orders-refused', term, highest: this.#highestTerm });
      return false;
    }
    this.#highestTerm = term;
    const done: string[] = [];
    for (const order of orders) {
      if (await this.#carryOut(order, term)) done.push(order.id);
    }
    if (done.length > 0) await this.#options.confirm(done);
    return done.length === orders.length;
  }

  async #learn(): Promise<boolean> {
    if (this.#learned) return true;
    const { learnTerm, logger } = this.#options;
    try {
      this.#highestTerm = Math.max(this.#highestTerm, await learnTerm());
      this.#learned = true;
    } catch (error) {
      logger.warn({ event: 'term-unknown', error: messageOf(error) });
    }
    return this.#learned;
  }

  async #carryOut(order: Order, term: number): Promise<boolean> {
    const { kind, program, target } = order;
    try {
      const answer = await this.#options.client.json('POST', '/orders', {
        kind,
        program,
        fence: term,
      });
      const accepted = answer !== undefined;
      this.#options.logger.info({ event: 'order', kind, program, target, term, accepted });
      return accepted;
    } catch (error) {
      this.#options.logger.warn({ event: 'order-failed', kind, program, error: messageOf(error) });
      return false;
    }
  }
}

import type { OrderOffer } from '../protocol';
import type { Order } from '../state';

/**
 * The orders that the leaders of the groups have offered to the leader of the configuration, which
 * alone gives orders to targets: a target then sees one rising fencing number. They are durable in
 * their groups, and offered again to a new leader.
 */
export class OfferedOrders {
  #byGroup = new Map<string, readonly Order[]>();

  /** Forgets everything: this member has just taken the lead. */
  reset(): void {
    this.#byGroup = new Map();
  }

  get count(): number {
    return [...this.#byGroup.values()].reduce((sum, orders) => sum + orders.length, 0);
  }

  /** Takes all pending orders of a group; returns the targets that have new ones. */
  take({ group, orders }: OrderOffer): readonly string[] {
    const known = new Set(this.#byGroup.get(group)?.map((order) => order.id));
    this.#byGroup.set(group, orders);
    const fresh = orders.filter((order) => !known.has(order.id));
    return [...new Set(fresh.map((order) => order.target))];
  }

  /** Drops orders that a target has carried out; returns them by group. */
  settle(ids: readonly string[]): ReadonlyMap<string, readonly string[]> {
    const settled = new Map<string, readonly string[]>();
    for (const [group, orders] of this.#byGroup) {
      const done = orders.filter((order) => ids.includes(order.id)).map((order) => order.id);
      if (done.length === 0) continue;
      settled.set(group, done);
      const left = orders.filter((order) => !ids.includes(order.id));
      this.#byGroup.set(group, left);
    }
    return settled;
  }

  forTarget(target: string | undefined): readonly Order[] {
    return [...this.#byGroup.values()].flat().filter((order) => order.target === target);
  }
}

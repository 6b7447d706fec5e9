import type { OrderOffer } from '../protocol';
import type { Order } from '../state';

/**
 * Unconfirmed orders that the leaders of the program groups have offered to the leader of the
 * configuration group. Only that leader sends orders to targets, so that a target sees one
 * increasing fencing token, the leader's term. Kept in memory: the orders are durable in their
 * groups and are offered again to a new leader.
 */
export class PendingOrders {
  #byGroup = new Map<string, readonly Order[]>();

  /** Called when this member becomes the leader. */
  reset(): void {
    this.#byGroup = new Map();
  }

  get count(): number {
    return [...this.#byGroup.values()].reduce((sum, orders) => sum + orders.length, 0);
  }

  /** Replaces all pending orders of a group; returns the targets that have new ones. */
  replaceGroup({ group, orders }: OrderOffer): readonly string[] {
    const knownIds = new Set(this.#byGroup.get(group)?.map((order) => order.id));
    this.#byGroup.set(group, orders);
    const added = orders.filter((order) => !knownIds.has(order.id));
    return [...new Set(added.map((order) => order.target))];
  }

  /** Removes orders that a target has confirmed; returns their ids by group. */
  removeConfirmed(ids: readonly string[]): ReadonlyMap<string, readonly string[]> {
    const removed = new Map<string, readonly string[]>();
    for (const [group, orders] of this.#byGroup) {
      const confirmed = orders.filter((order) => ids.includes(order.id)).map((order) => order.id);
      if (confirmed.length === 0) continue;
      removed.set(group, confirmed);
      const remaining = orders.filter((order) => !ids.includes(order.id));
      this.#byGroup.set(group, remaining);
    }
    return removed;
  }

  forTarget(target: string | undefined): readonly Order[] {
    return [...this.#byGroup.values()].flat().filter((order) => order.target === target);
  }
}

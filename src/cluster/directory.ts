import { type Clock, digestText } from '../core';
import type { KnownNode, NodeInfo, NodeKind, NodeStatus } from './node';

/** Time without a heartbeat or report after which a node is removed. */
const EXPIRY_MILLISECONDS = 10_000;

/** Membership table: the processes that this one knows of, by name. */
export class NodeDirectory {
  readonly #clock: Clock;
  readonly #nodes = new Map<string, KnownNode>();
  #digest: string | undefined;
  /** Nodes as returned by {@link all} and {@link ofKind}; cleared by each change. */
  #list: readonly KnownNode[] | undefined;
  readonly #listsByKind = new Map<NodeKind, readonly KnownNode[]>();
  /** No node expires before this time. */
  #noExpiryBefore = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  recordHeartbeat(node: NodeInfo, status: NodeStatus): void {
    const lastSeenAt = this.#clock.monotonic();
    this.#set({ node, status, lastSeenAt });
  }

  /**
   * Records a node reported by another one. The node's own heartbeat takes precedence, unless the
   * report names another run and the last heartbeat is older than
   * {@link HEARTBEAT_PRECEDENCE_MILLISECONDS}.
   */
  recordReport(node: NodeInfo): void {
    const known = this.#nodes.get(node.name);
    const now = this.#clock.monotonic();
    if (known === undefined) this.#set({ node, status: undefined, lastSeenAt: now });
    else if (known.status === undefined) this.#set({ ...known, node, lastSeenAt: now });
    else if (known.node.run === node.run) return;
    else if (now - known.lastSeenAt > HEARTBEAT_PRECEDENCE_MILLISECONDS) {
      this.#set({ node, status: undefined, lastSeenAt: now });
    }
  }

  get(name: string): KnownNode | undefined {
    return this.#nodes.get(name);
  }

  /** Removes expired nodes and returns the others. */
  all(): readonly KnownNode[] {
    this.#removeExpired();
    this.#list ??= [...this.#nodes.values()];
    return this.#list;
  }

  /** Number of nodes, including expired ones that {@link all} has not removed yet. */
  get size(): number {
    return this.#nodes.size;
  }

  ofKind(kind: NodeKind): readonly KnownNode[] {
    const all = this.all();
    const known = this.#listsByKind.get(kind);
    if (known !== undefined) return known;
    const list = all.filter(({ node }) => node.kind === kind);
    this.#listsByKind.set(kind, list);
    return list;
  }

  /** Nodes that sent this process a heartbeat within the last `milliseconds`. */
  withHeartbeatWithin(milliseconds: number): readonly KnownNode[] {
    const since = this.#clock.monotonic() - milliseconds;
    return this.all().filter((known) => known.status !== undefined && known.lastSeenAt >= since);
  }

  /**
   * Digest of the nodes' names, runs and addresses; equal on processes that know the same nodes.
   */
  get digest(): string {
    this.#removeExpired();
    this.#digest ??= digestText(
      [...this.#nodes.values()]
        .map(({ node }) => `${node.name} ${node.run} ${node.address}`)
        .sort()
        .join('\n'),
    );
    return this.#digest;
  }

  #set(known: KnownNode): void {
    const present = this.#nodes.get(known.node.name);
    if (present?.node.run !== known.node.run) this.#digest = undefined;
    this.#nodes.set(known.node.name, known);
    this.#noExpiryBefore = Math.min(this.#noExpiryBefore, known.lastSeenAt + EXPIRY_MILLISECONDS);
    this.#clearLists();
  }

  #removeExpired(): void {
    const now = this.#clock.monotonic();
    if (now <= this.#noExpiryBefore) return;
    let oldest = Infinity;
    for (const [name, { lastSeenAt }] of this.#nodes) {
      if (lastSeenAt >= now - EXPIRY_MILLISECONDS) {
        oldest = Math.min(oldest, lastSeenAt);
        continue;
      }
      this.#nodes.delete(name);
      this.#digest = undefined;
      this.#clearLists();
    }
    this.#noExpiryBefore = oldest + EXPIRY_MILLISECONDS;
  }

  #clearLists(): void {
    this.#list = undefined;
    this.#listsByKind.clear();
  }
}

/** Time without a heartbeat after which a report of another run of a node is accepted. */
const HEARTBEAT_PRECEDENCE_MILLISECONDS = 2000;

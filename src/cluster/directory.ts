import { type Clock, digestText } from '../core';
import type { KnownNode, NodeInfo, NodeKind, NodeStatus } from './node';

/** Time after which a node that nobody has heard of is forgotten; milliseconds. */
const FORGET_MILLISECONDS = 10_000;

/** The processes of the system that this one knows of, by name. */
export class NodeDirectory {
  readonly #clock: Clock;
  readonly #nodes = new Map<string, KnownNode>();
  #digest: string | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes what a node says of itself. */
  hear(node: NodeInfo, status: NodeStatus): void {
    const heardAt = this.#clock.monotonic();
    this.#set({ node, status, heardAt });
  }

  /** Notes a node that another one knows. What a node itself has said goes first. */
  learn(node: NodeInfo): void {
    const known = this.#nodes.get(node.name);
    const now = this.#clock.monotonic();
    if (known === undefined) this.#set({ node, status: undefined, heardAt: now });
    else if (known.status === undefined) this.#set({ ...known, node, heardAt: now });
    else if (known.node.run === node.run) return;
    else if (now - known.heardAt > HEARSAY_AFTER_MILLISECONDS) {
      this.#set({ node, status: undefined, heardAt: now });
    }
  }

  get(name: string): KnownNode | undefined {
    return this.#nodes.get(name);
  }

  /** All nodes that are not forgotten yet. */
  all(): readonly KnownNode[] {
    const since = this.#clock.monotonic() - FORGET_MILLISECONDS;
    for (const [name, { heardAt }] of this.#nodes) {
      if (heardAt >= since) continue;
      this.#nodes.delete(name);
      this.#digest = undefined;
    }
    return [...this.#nodes.values()];
  }

  /** Number of the nodes known, those included that nobody has heard of for a while. */
  get size(): number {
    return this.#nodes.size;
  }

  ofKind(kind: NodeKind): readonly KnownNode[] {
    return this.all().filter(({ node }) => node.kind === kind);
  }

  /** Nodes that greeted this one within a time. */
  heardWithin(milliseconds: number): readonly KnownNode[] {
    const since = this.#clock.monotonic() - milliseconds;
    return this.all().filter((known) => known.status !== undefined && known.heardAt >= since);
  }

  /** Digest of the list of nodes, the same wherever the lists are. */
  get digest(): string {
    const nodes = this.all();
    this.#digest ??= digestText(
      nodes
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
  }
}

/** Silence of a node after which hearsay of a newer run of it is believed; milliseconds. */
const HEARSAY_AFTER_MILLISECONDS = 2000;

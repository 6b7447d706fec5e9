import { type Membership, allMembers, quorumOf } from './membership';

/** An append with entries that is not answered yet. */
export interface AppendInFlight {
  readonly lastIndex: number;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

/** Replication progress of one peer, as known to the leader. */
export interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /** Send time of the newest answered message, monotonic milliseconds; -Infinity if none. */
  answeredAt: number;
  /** Meanwhile, heartbeats carry no entries. */
  appendInFlight: AppendInFlight | undefined;
  /** A snapshot is being sent, since entries that the peer needs were dropped. */
  snapshotInFlight: boolean;
}

/** Progress of a leader's peers, and the values that a quorum of voters has reached. */
export class ProgressTable {
  readonly #self: string;
  readonly #peers = new Map<string, PeerProgress>();
  #membership: Membership = { voters: [], learners: [] };

  constructor(self: string) {
    this.#self = self;
  }

  get peers(): ReadonlyMap<string, PeerProgress> {
    return this.#peers;
  }

  get(peer: string): PeerProgress | undefined {
    return this.#peers.get(peer);
  }

  clear(): void {
    this.#peers.clear();
  }

  /**
   * Adds and removes peers to match a membership. `answeredAt` is the last answer time assumed for
   * a new peer.
   */
  applyMembership(membership: Membership, lastIndex: number, answeredAt: number): void {
    this.#membership = membership;
    const members = allMembers(membership).filter((member) => member !== this.#self);
    for (const peer of [...this.#peers.keys()]) {
      if (!members.includes(peer)) this.#peers.delete(peer);
    }
    for (const peer of members) {
      if (this.#peers.has(peer)) continue;
      const nextIndex = lastIndex + 1;
      const initial = { matchIndex: 0, appendInFlight: undefined, snapshotInFlight: false };
      this.#peers.set(peer, { ...initial, nextIndex, answeredAt });
    }
  }

  /** Highest index synced by a quorum; `ownIndex` counts if the leader is a voter. */
  quorumMatchIndex(ownIndex: number): number {
    return this.#quorumValue(ownIndex, (progress) => progress.matchIndex);
  }

  /** Newest send time of messages that a quorum has answered; the leader counts as `now`. */
  quorumAnsweredAt(now: number): number {
    return this.#quorumValue(now, (progress) => progress.answeredAt);
  }

  /** The voter with the highest matching index; among equals, the one that answered last. */
  mostUpToDate(): readonly [string, PeerProgress] | undefined {
    const [best] = [...this.#peers]
      .filter(([peer]) => this.#membership.voters.includes(peer))
      .sort(
        ([, left], [, right]) =>
          right.matchIndex - left.matchIndex || right.answeredAt - left.answeredAt,
      );
    return best;
  }

  #quorumValue(own: number, valueOf: (progress: PeerProgress) => number): number {
    const values = this.#membership.voters.map((voter) => {
      if (voter === this.#self) return own;
      const progress = this.#peers.get(voter);
      return progress === undefined ? -Infinity : valueOf(progress);
    });
    const sorted = values.sort((left, right) => right - left);
    return sorted[quorumOf(this.#membership) - 1] ?? -Infinity;
  }
}

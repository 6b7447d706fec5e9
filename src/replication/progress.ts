import { type Membership, allMembers, quorumOf } from './membership';

/** What a leader knows of one peer. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Sending time of the newest message that the peer has answered; none yet: -Infinity. */
  answeredAt: number;
  /** An append with entries is under way; only heartbeats repeat it. */
  inFlight: boolean;
  /** A snapshot is under way, since entries that the peer needs were dropped. */
  installing: boolean;
}

/** A leader's view of its peers, and what a quorum of voters has reached. */
export class ProgressTable {
  readonly #self: string;
  readonly #peers = new Map<string, Progress>();
  #membership: Membership = { voters: [], learners: [] };

  constructor(self: string) {
    this.#self = self;
  }

  get peers(): ReadonlyMap<string, Progress> {
    return this.#peers;
  }

  get(peer: string): Progress | undefined {
    return this.#peers.get(peer);
  }

  clear(): void {
    this.#peers.clear();
  }

  /**
   * Takes a membership over. Of a peer that is new nothing is known yet; `answeredAt` is what
   * counts as its last answer until it gives one.
   */
  follow(membership: Membership, lastIndex: number, answeredAt: number): void {
    this.#membership = membership;
    const members = allMembers(membership).filter((member) => member !== this.#self);
    for (const peer of [...this.#peers.keys()]) {
      if (!members.includes(peer)) this.#peers.delete(peer);
    }
    for (const peer of members) {
      if (this.#peers.has(peer)) continue;
      const nextIndex = lastIndex + 1;
      const unknown = { matchIndex: 0, inFlight: false, installing: false };
      this.#peers.set(peer, { ...unknown, nextIndex, answeredAt });
    }
  }

  /** Highest index that a quorum has synced, the leader's own included if it votes. */
  quorumMatch(ownIndex: number): number {
    return this.#quorumValue(ownIndex, (progress) => progress.matchIndex);
  }

  /** Newest time at which a quorum, the leader included, is known to have followed. */
  quorumAnsweredAt(now: number): number {
    return this.#quorumValue(now, (progress) => progress.answeredAt);
  }

  /** The voter whose log is furthest along, the most responsive one among equals. */
  furthest(): readonly [string, Progress] | undefined {
    const [best] = [...this.#peers]
      .filter(([peer]) => this.#membership.voters.includes(peer))
      .sort(
        ([, left], [, right]) =>
          right.matchIndex - left.matchIndex || right.answeredAt - left.answeredAt,
      );
    return best;
  }

  #quorumValue(own: number, valueOf: (progress: Progress) => number): number {
    const values = this.#membership.voters.map((voter) => {
      if (voter === this.#self) return own;
      const progress = this.#peers.get(voter);
      return progress === undefined ? -Infinity : valueOf(progress);
    });
    const sorted = values.sort((left, right) => right - left);
    return sorted[quorumOf(this.#membership) - 1] ?? -Infinity;
  }
}

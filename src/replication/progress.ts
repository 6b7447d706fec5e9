/** What a leader knows of one peer. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /** Sending time of the newest message that the peer has answered. */
  answeredAt: number;
  /** An append with entries is under way; only heartbeats repeat it. */
  inFlight: boolean;
}

/** A leader's view of its peers, and what a quorum of members has reached. */
export class ProgressTable {
  readonly #quorum: number;
  readonly #peers = new Map<string, Progress>();

  constructor(quorum: number) {
    this.#quorum = quorum;
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

  /** Begins a term: nothing is known of the peers' logs yet. */
  reset(peers: readonly string[], lastIndex: number, now: number): void {
    this.#peers.clear();
    for (const peer of peers) {
      const nextIndex = lastIndex + 1;
      this.#peers.set(peer, { nextIndex, matchIndex: 0, answeredAt: now, inFlight: false });
    }
  }

  /** Highest index that a quorum has synced, the leader's own included. */
  quorumMatch(ownIndex: number): number {
    const matches = [...this.#peers.values()].map((progress) => progress.matchIndex);
    return this.#quorumOf([...matches, ownIndex]);
  }

  /** Newest time at which a quorum, the leader included, is known to have followed. */
  quorumAnsweredAt(now: number): number {
    const times = [...this.#peers.values()].map((progress) => progress.answeredAt);
    return this.#quorumOf([...times, now]);
  }

  /** The peer whose log is furthest along, the most responsive one among equals. */
  furthest(): readonly [string, Progress] | undefined {
    const [best] = [...this.#peers].sort(
      ([, left], [, right]) =>
        right.matchIndex - left.matchIndex || right.answeredAt - left.answeredAt,
    );
    return best;
  }

  #quorumOf(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => right - left);
    return sorted[this.#quorum - 1] ?? 0;
  }
}

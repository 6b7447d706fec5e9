/** A server as the platform lists it. */
export interface ListedTarget {
  /** Identifies one run of the server; changes at each start. */
  readonly id: string;
  readonly service: string;
  /** IP:port; may be reassigned to another server after this one has stopped. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Whether the server is shutting down and accepts no new requests. */
  readonly draining: boolean;
}

/** Reads the platform's list of servers. */
export interface TargetSource {
  /** Resolves with the complete list; rejects if it can't be read. */
  list(): Promise<readonly ListedTarget[]>;
}

/** A segment of a prompt. The last one belongs to the conversation and grows with each turn. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

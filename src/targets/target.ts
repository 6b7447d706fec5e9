/** A server as the platform lists it. */
export interface ListedTarget {
  /** One life of the server; another one after each start. */
  readonly id: string;
  readonly service: string;
  /** IP:port; may be given to another server after this one has ended. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Whether it is about to leave and takes no new work. */
  readonly draining: boolean;
}

/** Reads the platform's list of servers. */
export interface TargetSource {
  /** Resolves with the whole list; rejects if it can't be read now. */
  list(): Promise<readonly ListedTarget[]>;
}

/**
 * A part of a prompt, in the order of the prompt. The last one belongs to a conversation and grows
 * with each turn.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

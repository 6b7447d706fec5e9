/** A server as the platform lists it. */
export interface ListedTarget {
  /** Identifies a server. A server may restart under its former id; see {@link bornAt}. */
  readonly id: string;
  readonly service: string;
  /** IP:port; may be reassigned to another server after this one has stopped. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Whether the server is shutting down and accepts no new requests. */
  readonly draining: boolean;
  /** Start of the server, Unix milliseconds; undefined if the list does not state it. */
  readonly bornAt?: number | undefined;
}

/** How the target list shows that a target ended without having been drained. */
export type TargetEnd =
  | { readonly kind: 'gone' }
  /** Another server has its address. */
  | { readonly kind: 'replaced' }
  /** A later run of the server has its id. */
  | { readonly kind: 'restarted'; readonly bornAt: number | undefined };

/** Reads the platform's list of servers. */
export interface TargetSource {
  /** Resolves with the complete list, one entry per id; rejects if it can't be read. */
  list(): Promise<readonly ListedTarget[]>;
}

/** A segment of a prompt. The last one belongs to the conversation and grows with each turn. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

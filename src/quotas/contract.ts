/** A gateway's usage of and demand for one team's quota. */
export interface QuotaDemand {
  readonly team: string;
  /** Requests admitted by the gateway; does not decrease while a lease is valid. */
  readonly spent: number;
  /** Leased requests that are not used yet. */
  readonly held: number;
  /** Pending first turns of programs. */
  readonly waitingStarts: number;
  /** All other pending requests. */
  readonly waitingOthers: number;
  /** Leased requests that the gateway wants to hold in reserve, including those it holds. */
  readonly stock: number;
}

export interface QuotaReport {
  /** Id of the gateway's process, different after each restart. */
  readonly run: string;
  readonly demands: readonly QuotaDemand[];
}

/** Requests of one team's quota that are leased to a gateway. */
export interface QuotaGrant {
  readonly team: string;
  /** For pending first turns of programs. */
  readonly starts: number;
  /** For other pending requests. */
  readonly others: number;
  /** To hold in reserve. */
  readonly stock: number;
  /** Requests that remain available for leases. */
  readonly left: number;
  /** Estimated time until a request that got no lease can be granted. */
  readonly retryAfterSeconds: number;
}

export interface QuotaGrants {
  /** Term of the leader that granted the leases. */
  readonly term: number;
  readonly grants: readonly QuotaGrant[];
  /** Time for which leases may be used, counted from the sending of the report. */
  readonly validMilliseconds: number;
}

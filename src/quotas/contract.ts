/** What one gateway has of one team's quota, and what it asks for. */
export interface QuotaDemand {
  readonly team: string;
  /** Requests that were let through since the gateway's process began; it never falls. */
  readonly spent: number;
  /** Requests that may still be let through without asking. */
  readonly held: number;
  /** Requests that wait: first turns of programs, and all others. */
  readonly waitingStarts: number;
  readonly waitingOthers: number;
  /** Requests that the gateway would like to let through without asking, those held included. */
  readonly stock: number;
}

/** What a gateway tells the holder of the quotas. */
export interface QuotaReport {
  /** This run of the gateway's process. */
  readonly run: string;
  readonly demands: readonly QuotaDemand[];
}

/** What the holder lends a gateway of one team's quota. */
export interface QuotaGrant {
  readonly team: string;
  readonly starts: number;
  readonly others: number;
  readonly stock: number;
  /** Requests that the holder could still have lent. */
  readonly left: number;
  /** Seconds after which what was not lent may be there. */
  readonly retryAfterSeconds: number;
}

export interface QuotaGrants {
  /** Term of the holder's leadership. */
  readonly term: number;
  readonly grants: readonly QuotaGrant[];
  /** Time from the question for which what is held may be spent; milliseconds. */
  readonly validMilliseconds: number;
}

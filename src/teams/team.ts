import { digestText } from '../core';

/** Rate limit of a team, across all gateways. */
export interface Quota {
  readonly requestsPerSecond: number;
  /** Requests that may exceed the rate at once. */
  readonly burst: number;
}

/** Callers that share keys, a priority and a quota. */
export interface Team {
  readonly name: string;
  /** Digests of the callers' keys, computed by {@link digestKey}. */
  readonly keyDigests: readonly string[];
  /** 0 is the highest; takes precedence over the priority of a route. */
  readonly priority: number;
  /** Undefined for an unlimited team. */
  readonly quota: Quota | undefined;
}

/** SHA-256 in hexadecimal. */
export function digestKey(key: string): string {
  return digestText(key);
}

/**
 * Prefixes a caller's id with its team, so that callers cannot read or continue turns of other
 * teams or spend their budgets. The last line feed separates team and id, since ids come from
 * headers, which contain none. Without a team the id is unchanged.
 */
export function teamScopedId(team: Pick<Team, 'name'> | undefined, id: string): string {
  return team === undefined ? id : `${team.name}\n${id}`;
}

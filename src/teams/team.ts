import { digestText } from '../core';

/** Requests that a team may have run, over all gateways together. */
export interface Quota {
  readonly requestsPerSecond: number;
  /** Requests that may come at once on top of the rate. */
  readonly burst: number;
}

/** Callers who share keys, a priority and a quota. */
export interface Team {
  readonly name: string;
  /** Digests of the callers' keys, as {@link digestKey} makes them. */
  readonly keyDigests: readonly string[];
  /** 0 goes first; it goes before the priority of a route. */
  readonly priority: number;
  /** Nothing where the team may send as much as it likes. */
  readonly quota: Quota | undefined;
}

/** What stands for a key wherever keys are compared: SHA-256, in hexadecimal. */
export function digestKey(key: string): string {
  return digestText(key);
}

/**
 * An id of a caller's, as it is known inside the system: ids of different teams are never the same.
 * Purpose: nobody reads or continues another team's turns, or spends its budgets, since no id that a
 * caller can send leads there. Ids come from headers, which hold no line feed, so the last line feed
 * parts team and id; without teams an id stands as it is.
 */
export function idWithinTeam(team: Pick<Team, 'name'> | undefined, id: string): string {
  return team === undefined ? id : `${team.name}\n${id}`;
}

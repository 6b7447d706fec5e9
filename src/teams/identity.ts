import type { TeamDirectory } from './directory';
import type { Team } from './team';

export interface Credentials {
  /** Undefined if the caller sent no key, or more than one. */
  readonly key: string | undefined;
  /** Whether the route accepts callers without a key. */
  readonly isPublic: boolean;
}

/** Result of the identification of a caller against one configuration. */
export type Identity =
  | { readonly kind: 'team'; readonly team: Team }
  /** Any caller is accepted: the route is public, or the configuration has no teams. */
  | { readonly kind: 'anyone' }
  | { readonly kind: 'no-key' }
  /** No team of this configuration has the key; a newer configuration may. */
  | { readonly kind: 'unknown-key' };

/**
 * A configuration without teams accepts every caller. An empty list of teams accepts callers on
 * public routes only.
 */
export function identify(teams: TeamDirectory | undefined, credentials: Credentials): Identity {
  if (teams === undefined) return { kind: 'anyone' };
  const { key, isPublic } = credentials;
  const team = key === undefined ? undefined : teams.findByKey(key);
  if (team !== undefined) return { kind: 'team', team };
  if (isPublic) return { kind: 'anyone' };
  return { kind: key === undefined ? 'no-key' : 'unknown-key' };
}

import type { TeamDirectory } from './directory';
import type { Team } from './team';

/** What tells who asks. */
export interface Credentials {
  /** The caller's key; nothing if it sent none, or more than one. */
  readonly key: string | undefined;
  /** Whether the route is open to callers without a key. */
  readonly isPublic: boolean;
}

/** Who asks, by one configuration. */
export type Identity =
  | { readonly kind: 'team'; readonly team: Team }
  /** A caller of a route that is open to all, or of a configuration without teams. */
  | { readonly kind: 'anyone' }
  | { readonly kind: 'no-key' }
  /** No team of this configuration holds the key; a newer one may. */
  | { readonly kind: 'unknown-key' };

/** Settles who asks. Without teams everybody may, as before there were any. */
export function identify(teams: TeamDirectory | undefined, credentials: Credentials): Identity {
  if (teams === undefined) return { kind: 'anyone' };
  const { key, isPublic } = credentials;
  const team = key === undefined ? undefined : teams.ofKey(key);
  if (team !== undefined) return { kind: 'team', team };
  if (isPublic) return { kind: 'anyone' };
  return { kind: key === undefined ? 'no-key' : 'unknown-key' };
}

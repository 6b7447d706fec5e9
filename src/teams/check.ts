import type { Issue } from '../core';

/** A team as far as its keys must differ from those of others. */
export interface KeyedTeam {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Where its keys stand in the operators' file. */
  readonly path: readonly (string | number)[];
}

/** Finds keys that two teams share; the messages name teams, never keys. */
export function findSharedKeys(teams: readonly KeyedTeam[]): readonly Issue[] {
  const owners = new Map<string, string>();
  return teams.flatMap(({ name, keyDigests, path }) =>
    keyDigests.flatMap((digest, index) => {
      const owner = owners.get(digest) ?? name;
      owners.set(digest, owner);
      if (owner === name) return [];
      const message = `is a key of team "${owner}" too; take it away from one of them`;
      return [{ code: 'shared_key', path: [...path, index], message }];
    }),
  );
}

import type { Issue } from '../core';

export interface KeyedTeam {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Path of its list of keys in the configuration file. */
  readonly path: readonly (string | number)[];
}

/** Finds keys that belong to more than one team; the messages contain team names but no keys. */
export function findSharedKeys(teams: readonly KeyedTeam[]): readonly Issue[] {
  const owners = new Map<string, string>();
  return teams.flatMap(({ name, keyDigests, path }) =>
    keyDigests.flatMap((digest, index) => {
      const owner = owners.get(digest) ?? name;
      owners.set(digest, owner);
      if (owner === name) return [];
      const message = `is a key of team "${owner}" too; remove it from one of them`;
      return [{ code: 'shared_key', path: [...path, index], message }];
    }),
  );
}

import { type Team, digestKey } from './team';

/** The teams of one configuration, by name and by key. */
export class TeamDirectory {
  readonly #byDigest = new Map<string, Team>();
  readonly #byName = new Map<string, Team>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) {
      this.#byName.set(team.name, team);
      for (const digest of team.keyDigests) this.#byDigest.set(digest, team);
    }
  }

  findByName(name: string): Team | undefined {
    return this.#byName.get(name);
  }

  /** Looks up the digest of a key, so that the duration reveals nothing about the keys of teams. */
  findByKey(key: string): Team | undefined {
    return this.#byDigest.get(digestKey(key));
  }
}

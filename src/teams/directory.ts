import { type Team, digestKey } from './team';

/** The teams of one configuration, found by a caller's key. */
export class TeamDirectory {
  readonly #byDigest = new Map<string, Team>();
  readonly #byName = new Map<string, Team>();

  constructor(teams: readonly Team[]) {
    for (const team of teams) {
      this.#byName.set(team.name, team);
      for (const digest of team.keyDigests) this.#byDigest.set(digest, team);
    }
  }

  get names(): Iterable<string> {
    return this.#byName.keys();
  }

  named(name: string): Team | undefined {
    return this.#byName.get(name);
  }

  /** The team that holds a key; digests are compared, so the time it takes tells nothing of keys. */
  ofKey(key: string): Team | undefined {
    return this.#byDigest.get(digestKey(key));
  }
}

import type { Hello } from './messages';
import { type Membership, allMembers, nameOf } from './membership';

/** How long a greeting counts; milliseconds. */
const GREETING_MILLISECONDS = 2000;

interface Greeting {
  readonly hello: Hello;
  /** Monotonic, in milliseconds. */
  readonly heardAt: number;
}

/** Hosts that have said lately that they hear no leader. */
export class Greetings {
  readonly #byName = new Map<string, Greeting>();

  hear(hello: Hello, now: number): void {
    this.#byName.set(nameOf(hello.from), { hello, heardAt: now });
  }

  /** Identities that are no members and wish to be. */
  newcomers(membership: Membership, now: number): readonly string[] {
    const members = allMembers(membership);
    return this.#recent(now)
      .map((hello) => hello.from)
      .filter((identity) => !members.includes(identity));
  }

  /**
   * The first membership, if this host is the one to found the log: it and all others listed are
   * new, list the same hosts, and this one's name is the first of them.
   */
  foundingMembership(own: Hello, now: number): Membership | undefined {
    const names = own.hosts;
    const others = this.#recent(now).filter(
      (hello) => hello.isNew && hello.hosts.join() === own.hosts.join(),
    );
    const identities = names.map((name) =>
      name === nameOf(own.from)
        ? own.from
        : others.find((hello) => nameOf(hello.from) === name)?.from,
    );
    const voters = identities.filter((identity) => identity !== undefined);
    if (!own.isNew || names[0] !== nameOf(own.from) || voters.length < names.length)
      return undefined;
    return { voters, learners: [] };
  }

  #recent(now: number): readonly Hello[] {
    return [...this.#byName.values()]
      .filter((greeting) => now - greeting.heardAt <= GREETING_MILLISECONDS)
      .map((greeting) => greeting.hello);
  }
}

import type { Hello } from './messages';
import { type Membership, allMembers, hostNameOf } from './membership';

const HELLO_VALIDITY_MILLISECONDS = 2000;

interface ReceivedHello {
  readonly hello: Hello;
  /** Monotonic time in milliseconds. */
  readonly receivedAt: number;
}

/** Newest hello message of each host without a leader; messages expire. */
export class RecentHellos {
  readonly #receivedByHost = new Map<string, ReceivedHello>();

  record(hello: Hello, now: number): void {
    this.#receivedByHost.set(hostNameOf(hello.from), { hello, receivedAt: now });
  }

  /** Identities outside the membership that have sent a recent hello. */
  joiningIdentities(membership: Membership, now: number): readonly string[] {
    const members = allMembers(membership);
    return this.#recentHellos(now)
      .map((hello) => hello.from)
      .filter((identity) => !members.includes(identity));
  }

  /**
   * The initial membership, if this host may bootstrap the log: it is listed first, and all listed
   * hosts are new and list the same hosts.
   */
  initialMembership(own: Hello, now: number): Membership | undefined {
    const names = own.hosts;
    const others = this.#recentHellos(now).filter(
      (hello) => hello.isNew && hello.hosts.join() === own.hosts.join(),
    );
    const identities = names.map((name) =>
      name === hostNameOf(own.from)
        ? own.from
        : others.find((hello) => hostNameOf(hello.from) === name)?.from,
    );
    const voters = identities.filter((identity) => identity !== undefined);
    if (!own.isNew || names[0] !== hostNameOf(own.from) || voters.length < names.length)
      return undefined;
    return { voters, learners: [] };
  }

  #recentHellos(now: number): readonly Hello[] {
    return [...this.#receivedByHost.values()]
      .filter((received) => now - received.receivedAt <= HELLO_VALIDITY_MILLISECONDS)
      .map((received) => received.hello);
  }
}

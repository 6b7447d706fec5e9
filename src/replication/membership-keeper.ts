import { Greetings } from './greetings';
import { type Membership, allMembers, nameOf } from './membership';
import { planMembership } from './membership-plan';
import type { Envelope, Hello } from './messages';
import type { RaftMember } from './raft';

/** What keeps a membership; times in milliseconds. */
export interface MembershipKeeperOptions {
  /** Name of this host, and the identity of this life of its folder. */
  readonly self: string;
  readonly identity: string;
  readonly hosts: () => readonly string[];
  readonly send: (envelope: Envelope) => void;
  /** Silence after which a member may be replaced by a new life of the same host. */
  readonly silenceMilliseconds: number;
  readonly onChange: (membership: Membership, reason: string) => void;
}

/** How long a leader leads before it hands over to the host that is listed first; milliseconds. */
const PREFERENCE_MILLISECONDS = 5000;

/** Founds a log, asks to be taken into it, and as its leader brings it to the hosts listed. */
export class MembershipKeeper {
  readonly #options: MembershipKeeperOptions;
  readonly #greetings = new Greetings();

  constructor(options: MembershipKeeperOptions) {
    this.#options = options;
  }

  hear(hello: Hello, now: number): void {
    this.#greetings.hear(hello, now);
  }

  tick(member: RaftMember, now: number): void {
    const isMember = allMembers(member.membership).includes(this.#options.identity);
    if (isMember && member.mayChangeMembership) this.#keep(member, now);
    if (isMember) this.#preferFirst(member, now);
    if (!isMember || member.isLeaderless(now)) this.#introduce(member, now);
  }

  /** Members that have not answered for a while. */
  silentMembers(member: RaftMember, now: number): readonly string[] {
    const since = now - this.#options.silenceMilliseconds;
    const peers = [...member.peers];
    return peers.filter(([, progress]) => progress.answeredAt < since).map(([peer]) => peer);
  }

  /** Greets the hosts listed, and founds the log with them if all are new. */
  #introduce(member: RaftMember, now: number): void {
    const { self, identity, hosts, send } = this.#options;
    const { isNew } = member;
    const hello: Hello = { kind: 'hello', from: identity, isNew, hosts: hosts() };
    for (const to of hello.hosts) {
      if (to !== self) send({ to, message: hello });
    }
    const founding = this.#greetings.foundingMembership(hello, now);
    if (founding !== undefined) member.found(founding, now);
  }

  /** Spreads the leaders of many logs over their hosts again after failures. */
  #preferFirst(member: RaftMember, now: number): void {
    const [first = ''] = this.#options.hosts();
    const rested = now - member.leaderSince >= PREFERENCE_MILLISECONDS;
    if (!member.ready || !rested || nameOf(this.#options.identity) === first) return;
    const silent = this.silentMembers(member, now);
    const preferred = member.membership.voters.find((voter) => nameOf(voter) === first);
    if (preferred === undefined || silent.includes(preferred)) return;
    member.transferLeadership(now, preferred);
  }

  #keep(member: RaftMember, now: number): void {
    const { identity, hosts, silenceMilliseconds, onChange } = this.#options;
    const step = planMembership({
      self: identity,
      membership: member.membership,
      peers: member.peers,
      hosts: hosts(),
      newcomers: this.#greetings.newcomers(member.membership, now),
      commitIndex: member.commitIndex,
      now,
      silenceMilliseconds,
    });
    if (step?.kind === 'hand-over') member.transferLeadership(now);
    if (step?.kind !== 'change') return;
    member.changeMembership(step.membership, now);
    onChange(step.membership, step.reason);
  }
}

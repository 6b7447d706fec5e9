import { RecentHellos } from './recent-hellos';
import { type Membership, allMembers, hostNameOf } from './membership';
import { planMembership } from './membership-plan';
import type { Envelope, Hello } from './messages';
import type { RaftMember } from './raft-member';

export interface MembershipReconcilerOptions {
  /** Name of this host. */
  readonly self: string;
  /** This host's name and the incarnation of its data folder. */
  readonly identity: string;
  /** Names of the desired member hosts, the preferred leader first. */
  readonly hosts: () => readonly string[];
  readonly send: (envelope: Envelope) => void;
  /** Time without an answer after which a new incarnation of the host may replace the member. */
  readonly unresponsiveMilliseconds: number;
  readonly onChange: (membership: Membership, reason: string) => void;
}

/** Minimum time a member leads before it transfers leadership to the host listed first. */
const PREFERRED_LEADER_DELAY_MILLISECONDS = 5000;

/** Bootstraps a log, requests to join it and, as its leader, adapts its membership to the host list. */
export class MembershipReconciler {
  readonly #options: MembershipReconcilerOptions;
  readonly #recentHellos = new RecentHellos();

  constructor(options: MembershipReconcilerOptions) {
    this.#options = options;
  }

  receiveHello(hello: Hello, now: number): void {
    this.#recentHellos.record(hello, now);
  }

  tick(member: RaftMember, now: number): void {
    const isMember = allMembers(member.membership).includes(this.#options.identity);
    if (isMember && member.canChangeMembership) this.#reconcile(member, now);
    if (isMember) this.#transferToPreferredHost(member, now);
    if (!isMember || member.isLeaderless(now)) this.#sendHellos(member, now);
  }

  /** Members that have not answered within `unresponsiveMilliseconds`. */
  unresponsiveMembers(member: RaftMember, now: number): readonly string[] {
    const since = now - this.#options.unresponsiveMilliseconds;
    const peers = [...member.peers];
    return peers.filter(([, progress]) => progress.answeredAt < since).map(([peer]) => peer);
  }

  /** Sends a hello to the listed hosts, and bootstraps the log if all of them are new. */
  #sendHellos(member: RaftMember, now: number): void {
    const { self, identity, hosts, send } = this.#options;
    const { isNew } = member;
    const hello: Hello = { kind: 'hello', from: identity, isNew, hosts: hosts() };
    for (const to of hello.hosts) {
      if (to !== self) send({ to, message: hello });
    }
    const initialMembership = this.#recentHellos.initialMembership(hello, now);
    if (initialMembership !== undefined) member.bootstrap(initialMembership, now);
  }

  /** Restores the distribution of many logs' leaders over their hosts after failures. */
  #transferToPreferredHost(member: RaftMember, now: number): void {
    const [first = ''] = this.#options.hosts();
    const hasLedLongEnough = now - member.leaderSince >= PREFERRED_LEADER_DELAY_MILLISECONDS;
    if (!member.ready || !hasLedLongEnough || hostNameOf(this.#options.identity) === first) return;
    const unresponsive = this.unresponsiveMembers(member, now);
    const preferred = member.membership.voters.find((voter) => hostNameOf(voter) === first);
    if (preferred === undefined || unresponsive.includes(preferred)) return;
    member.transferLeadership(now, preferred);
  }

  #reconcile(member: RaftMember, now: number): void {
    const { identity, hosts, unresponsiveMilliseconds, onChange } = this.#options;
    const step = planMembership({
      self: identity,
      membership: member.membership,
      peers: member.peers,
      hosts: hosts(),
      joiningIdentities: this.#recentHellos.joiningIdentities(member.membership, now),
      commitIndex: member.commitIndex,
      now,
      unresponsiveMilliseconds,
    });
    if (step?.kind === 'transfer-leadership') member.transferLeadership(now);
    if (step?.kind !== 'change') return;
    member.changeMembership(step.membership, now);
    onChange(step.membership, step.reason);
  }
}

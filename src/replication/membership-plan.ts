import { type Membership, allMembers, nameOf } from './membership';
import type { Progress } from './progress';

/** What the plan of a leader rests on; times are monotonic, in milliseconds. */
export interface MembershipView {
  readonly self: string;
  readonly membership: Membership;
  readonly peers: ReadonlyMap<string, Readonly<Progress>>;
  /** Names of the hosts that are to be members. */
  readonly hosts: readonly string[];
  /** Identities that asked lately to be taken in. */
  readonly newcomers: readonly string[];
  readonly commitIndex: number;
  readonly now: number;
  /** Silence after which a member may be replaced by a new life of the same host. */
  readonly silenceMilliseconds: number;
}

/** What a leader does next about the membership. */
export type MembershipStep =
  | { readonly kind: 'change'; readonly membership: Membership; readonly reason: string }
  /** This leader is to leave, and hands over first. */
  | { readonly kind: 'hand-over' };

/** Entries that a learner may lack when it becomes a voter. */
const CAUGHT_UP_ENTRIES = 64;

/**
 * Plans one change of one member: a caught-up learner becomes a voter, a member whose host has
 * come back without its disk is removed, a newcomer becomes a learner, and a host that is no
 * longer listed is removed last, so that the number of copies does not fall before it must.
 */
export function planMembership(view: MembershipView): MembershipStep | undefined {
  return promote(view) ?? replace(view) ?? admit(view) ?? retire(view);
}

function promote(view: MembershipView): MembershipStep | undefined {
  const { voters, learners } = view.membership;
  const ready = learners.find((learner) => isCaughtUp(view, learner));
  if (ready === undefined) return undefined;
  const rest = learners.filter((learner) => learner !== ready);
  return change({ voters: [...voters, ready], learners: rest }, `${ready} has caught up`);
}

function isCaughtUp(view: MembershipView, learner: string): boolean {
  const progress = view.peers.get(learner);
  if (progress === undefined || isSilent(view, learner)) return false;
  return progress.matchIndex > 0 && progress.matchIndex + CAUGHT_UP_ENTRIES >= view.commitIndex;
}

function replace(view: MembershipView): MembershipStep | undefined {
  const replaced = allMembers(view.membership).find(
    (member) =>
      view.newcomers.some((newcomer) => nameOf(newcomer) === nameOf(member)) &&
      isSilent(view, member),
  );
  if (replaced === undefined || replaced === view.self) return undefined;
  return change(without(view.membership, replaced), `${replaced} has lost its disk`);
}

function admit(view: MembershipView): MembershipStep | undefined {
  const { membership, hosts, newcomers } = view;
  const names = allMembers(membership).map(nameOf);
  const newcomer = newcomers.find(
    (identity) => hosts.includes(nameOf(identity)) && !names.includes(nameOf(identity)),
  );
  if (newcomer === undefined) return undefined;
  const learners = [...membership.learners, newcomer];
  return change({ ...membership, learners }, `${newcomer} asks to be taken in`);
}

function retire(view: MembershipView): MembershipStep | undefined {
  const { membership, hosts, self } = view;
  const names = membership.voters.map(nameOf);
  const complete = hosts.every((host) => names.includes(host));
  const leaving = allMembers(membership).filter((member) => !hosts.includes(nameOf(member)));
  const [first] = leaving.filter((member) => member !== self);
  if (!complete || leaving.length === 0) return undefined;
  if (first === undefined) return { kind: 'hand-over' };
  return change(without(membership, first), `${nameOf(first)} is no longer listed`);
}

function isSilent(view: MembershipView, member: string): boolean {
  if (member === view.self) return false;
  const answeredAt = view.peers.get(member)?.answeredAt ?? -Infinity;
  return view.now - answeredAt > view.silenceMilliseconds;
}

function without(membership: Membership, member: string): Membership {
  return {
    voters: membership.voters.filter((voter) => voter !== member),
    learners: membership.learners.filter((learner) => learner !== member),
  };
}

function change(membership: Membership, reason: string): MembershipStep {
  return { kind: 'change', membership, reason };
}

import { type Membership, allMembers, hostNameOf } from './membership';
import type { PeerProgress } from './progress';

/** A leader's knowledge of the members; times are monotonic, in milliseconds. */
export interface MembershipPlanInput {
  readonly self: string;
  readonly membership: Membership;
  readonly peers: ReadonlyMap<string, Readonly<PeerProgress>>;
  /** Names of the desired member hosts. */
  readonly hosts: readonly string[];
  /** Identities that recently requested to join. */
  readonly joiningIdentities: readonly string[];
  readonly commitIndex: number;
  readonly now: number;
  /** Time without an answer after which a new incarnation of the host may replace the member. */
  readonly unresponsiveMilliseconds: number;
}

export type MembershipStep =
  | { readonly kind: 'change'; readonly membership: Membership; readonly reason: string }
  /** This leader's host is no longer listed, so another member has to lead before its removal. */
  | { readonly kind: 'transfer-leadership' };

/** Maximum number of committed entries that a learner may lack when it becomes a voter. */
const MAXIMUM_LAG_ENTRIES = 64;

/**
 * Plans one change of one member. In this order: promote a caught-up learner, remove a member whose
 * host has a new incarnation, add a joining host as a learner, remove a host that is no longer
 * listed. Removing unlisted hosts last keeps the number of replicas up while others join.
 */
export function planMembership(input: MembershipPlanInput): MembershipStep | undefined {
  return promote(input) ?? removeReplaced(input) ?? addLearner(input) ?? removeUnlisted(input);
}

function promote(input: MembershipPlanInput): MembershipStep | undefined {
  const { voters, learners } = input.membership;
  const caughtUp = learners.find((learner) => isCaughtUp(input, learner));
  if (caughtUp === undefined) return undefined;
  const rest = learners.filter((learner) => learner !== caughtUp);
  return changeTo(
    { voters: [...voters, caughtUp], learners: rest },
    `promoting learner ${caughtUp}: its log has caught up`,
  );
}

function isCaughtUp(input: MembershipPlanInput, learner: string): boolean {
  const progress = input.peers.get(learner);
  if (progress === undefined || isUnresponsive(input, learner)) return false;
  return progress.matchIndex > 0 && progress.matchIndex + MAXIMUM_LAG_ENTRIES >= input.commitIndex;
}

function removeReplaced(input: MembershipPlanInput): MembershipStep | undefined {
  const replaced = allMembers(input.membership).find(
    (member) =>
      input.joiningIdentities.some((joining) => hostNameOf(joining) === hostNameOf(member)) &&
      isUnresponsive(input, member),
  );
  if (replaced === undefined || replaced === input.self) return undefined;
  return changeTo(
    withoutMember(input.membership, replaced),
    `removing ${replaced}: its host rejoined with a new data folder`,
  );
}

function addLearner(input: MembershipPlanInput): MembershipStep | undefined {
  const { membership, hosts, joiningIdentities } = input;
  const names = allMembers(membership).map(hostNameOf);
  const joining = joiningIdentities.find(
    (identity) => hosts.includes(hostNameOf(identity)) && !names.includes(hostNameOf(identity)),
  );
  if (joining === undefined) return undefined;
  const learners = [...membership.learners, joining];
  return changeTo({ ...membership, learners }, `adding learner ${joining}: it requested to join`);
}

function removeUnlisted(input: MembershipPlanInput): MembershipStep | undefined {
  const { membership, hosts, self } = input;
  const names = membership.voters.map(hostNameOf);
  const allListedHostsVote = hosts.every((host) => names.includes(host));
  const leaving = allMembers(membership).filter((member) => !hosts.includes(hostNameOf(member)));
  const [first] = leaving.filter((member) => member !== self);
  if (!allListedHostsVote || leaving.length === 0) return undefined;
  if (first === undefined) return { kind: 'transfer-leadership' };
  return changeTo(
    withoutMember(membership, first),
    `removing ${hostNameOf(first)}: the host is no longer listed`,
  );
}

function isUnresponsive(input: MembershipPlanInput, member: string): boolean {
  if (member === input.self) return false;
  const answeredAt = input.peers.get(member)?.answeredAt ?? -Infinity;
  return input.now - answeredAt > input.unresponsiveMilliseconds;
}

function withoutMember(membership: Membership, member: string): Membership {
  return {
    voters: membership.voters.filter((voter) => voter !== member),
    learners: membership.learners.filter((learner) => learner !== member),
  };
}

function changeTo(membership: Membership, reason: string): MembershipStep {
  return { kind: 'change', membership, reason };
}

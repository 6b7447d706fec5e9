import type { KnownNode } from './node';
import {
  FIRST_EPOCH,
  type RetirementState,
  type MemberEntry,
  type StoreView,
  type ViewMember,
  viewSizeFor,
} from './view';

/** Limits the size of a view while replacements fail one after another. */
const MAX_PREDECESSORS = 16;

export interface ViewPlanInput {
  readonly view: StoreView | undefined;
  readonly toleratedLosses: number;
  /** Stores whose last heartbeat to the leader is within the failure timeout. */
  readonly stores: readonly KnownNode[];
  readonly retirements: ReadonlyMap<string, RetirementState>;
  /** Whether the leader has led long enough to treat a missing heartbeat as a failure. */
  readonly failureDetectionActive: boolean;
}

/** A change of the view, or the completion of a retirement. */
export type ViewStep =
  | { readonly kind: 'view'; readonly view: StoreView; readonly reason: string }
  | { readonly kind: 'retired'; readonly store: string };

/**
 * Plans at most one change of the view. A member that has lost its disk rejoins as a new member; a
 * retiring or failed member is replaced by a spare. A member that may still hold its data is
 * replaced only while a quorum of the others is complete, because they backfill the replacement.
 */
export function planView(input: ViewPlanInput): ViewStep | undefined {
  const { view } = input;
  if (view === undefined) return planInitialView(input);
  return (
    readmitWithoutData(input, view) ??
    updateAddress(input, view) ??
    replaceRetiring(input, view) ??
    replaceUnresponsive(input, view) ??
    completeRetirement(input, view)
  );
}

function planInitialView(input: ViewPlanInput): ViewStep | undefined {
  const size = viewSizeFor(input.toleratedLosses);
  const chosen = spreadOverZones(spareStores(input, []), []).slice(0, size);
  if (chosen.length < size) return undefined;
  const members = chosen.map((known) => memberOf(known, FIRST_EPOCH));
  const quorum = input.toleratedLosses + 1;
  return { kind: 'view', view: { epoch: FIRST_EPOCH, members, quorum }, reason: 'initial view' };
}

/** A member whose `dataLife` changed has lost its data and rejoins at a new epoch. */
function readmitWithoutData(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  for (const member of view.members) {
    const store = input.stores.find(({ node }) => node.name === member.name);
    if (store === undefined || store.node.dataLife === member.dataLife) continue;
    return replace(input, view, member, store, `${member.name} lost its disk`);
  }
  return undefined;
}

/** A member or predecessor whose address changed keeps its data and its joining epoch. */
function updateAddress(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  for (const holder of view.members.flatMap((member) => [member, ...predecessorsOf(member)])) {
    const store = input.stores.find(({ node }) => node.name === holder.name);
    if (store?.node.dataLife !== holder.dataLife) continue;
    const { address } = store.node;
    if (address === holder.address) continue;
    const move = <Holder extends MemberEntry>(other: Holder): Holder =>
      other.name === holder.name && other.dataLife === holder.dataLife
        ? { ...other, address }
        : other;
    const members = view.members.map(({ predecessors, ...member }) =>
      predecessors === undefined
        ? move(member)
        : { ...move(member), predecessors: predecessors.map(move) },
    );
    const next = { ...view, epoch: view.epoch + 1, members };
    return { kind: 'view', view: next, reason: `${holder.name} changed its address` };
  }
  return undefined;
}

function replaceRetiring(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  const retiring = view.members.find(({ name }) => input.retirements.has(name));
  if (retiring === undefined) return undefined;
  return replaceWithSpare(input, view, retiring, `${retiring.name} is retiring`);
}

function replaceUnresponsive(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  if (!input.failureDetectionActive) return undefined;
  const names = input.stores.map(({ node }) => node.name);
  const unresponsive = view.members.find(({ name }) => !names.includes(name));
  if (unresponsive === undefined) return undefined;
  return replaceWithSpare(input, view, unresponsive, `${unresponsive.name} sent no heartbeat`);
}

function replaceWithSpare(
  input: ViewPlanInput,
  view: StoreView,
  member: ViewMember,
  reason: string,
): ViewStep | undefined {
  const others = view.members.filter((other) => other !== member);
  const complete = others.filter((other) => isComplete(input, other));
  if (complete.length < view.quorum) return undefined;
  const [spare] = spreadOverZones(spareStores(input, view.members), others);
  return spare === undefined ? undefined : replace(input, view, member, spare, reason);
}

function completeRetirement(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  const names = view.members.map(({ name }) => name);
  const isViewComplete = view.members.every(
    (member) => isComplete(input, member) && hasReachedEpoch(input, member, view.epoch),
  );
  if (!isViewComplete) return undefined;
  for (const [store, state] of input.retirements) {
    if (state === 'running' && !names.includes(store)) return { kind: 'retired', store };
  }
  return undefined;
}

function replace(
  input: ViewPlanInput,
  view: StoreView,
  member: ViewMember,
  store: KnownNode,
  reason: string,
): ViewStep {
  const epoch = view.epoch + 1;
  const predecessors = predecessorsAfter(input, member);
  const added = { ...memberOf(store, epoch), predecessors };
  const members = view.members.map((other) =>
    other === member ? added : withoutObsoletePredecessors(input, other),
  );
  return {
    kind: 'view',
    view: { ...view, epoch, members },
    reason: `${reason}; ${added.name} joins`,
  };
}

/** The replaced member and, unless it is known to have been complete, its own predecessors. */
function predecessorsAfter(input: ViewPlanInput, member: ViewMember): readonly MemberEntry[] {
  const earlier = isComplete(input, member) ? [] : predecessorsOf(member);
  return [withoutPredecessors(member), ...earlier].slice(0, MAX_PREDECESSORS);
}

function predecessorsOf({ predecessors = [] }: ViewMember): readonly MemberEntry[] {
  return predecessors;
}

function withoutObsoletePredecessors(input: ViewPlanInput, member: ViewMember): ViewMember {
  return isComplete(input, member) ? withoutPredecessors(member) : member;
}

function withoutPredecessors(member: ViewMember): MemberEntry {
  const { name, address, availabilityZone, dataLife, joined } = member;
  return { name, address, availabilityZone, dataLife, joined };
}

/** Responsive stores that are neither members nor retiring. */
function spareStores(input: ViewPlanInput, used: readonly ViewMember[]): readonly KnownNode[] {
  const names = used.map(({ name }) => name);
  return input.stores.filter(
    ({ node }) => !names.includes(node.name) && !input.retirements.has(node.name),
  );
}

function isComplete(input: ViewPlanInput, member: ViewMember): boolean {
  const store = input.stores.find(({ node }) => node.name === member.name);
  return store?.node.dataLife === member.dataLife && store.status?.completeFor === member.joined;
}

function hasReachedEpoch(input: ViewPlanInput, member: ViewMember, epoch: number): boolean {
  const store = input.stores.find(({ node }) => node.name === member.name);
  return (store?.status?.viewEpoch ?? 0) >= epoch;
}

function memberOf({ node }: KnownNode, joined: number): ViewMember {
  const { name, address, availabilityZone, dataLife } = node;
  return { name, address, availabilityZone, dataLife, joined };
}

/**
 * Orders stores so that each next one is in the availability zone with the fewest chosen so far.
 */
function spreadOverZones(
  stores: readonly KnownNode[],
  chosen: readonly ViewMember[],
): readonly KnownNode[] {
  const counts = new Map<string, number>();
  const count = (zone: string) => counts.get(zone) ?? 0;
  for (const { availabilityZone: zone } of chosen) counts.set(zone, count(zone) + 1);
  const rest = [...stores].sort((left, right) => (left.node.name < right.node.name ? -1 : 1));
  const ordered: KnownNode[] = [];
  while (rest.length > 0) {
    const next = rest.reduce((best, store) =>
      count(store.node.availabilityZone) < count(best.node.availabilityZone) ? store : best,
    );
    rest.splice(rest.indexOf(next), 1);
    counts.set(next.node.availabilityZone, count(next.node.availabilityZone) + 1);
    ordered.push(next);
  }
  return ordered;
}

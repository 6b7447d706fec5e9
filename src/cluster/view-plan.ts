import type { KnownNode } from './node';
import {
  FIRST_EPOCH,
  type RetirementState,
  type StoreView,
  type ViewMember,
  viewSizeFor,
} from './view';

/** What the plan of the leader rests on. */
export interface ViewPlanInput {
  readonly view: StoreView | undefined;
  readonly toleratedLosses: number;
  /** Stores that have greeted the leader within the silence after which one counts as gone. */
  readonly stores: readonly KnownNode[];
  readonly retirements: ReadonlyMap<string, RetirementState>;
  /** Whether the leader has led long enough to take silence for absence. */
  readonly silenceCounts: boolean;
}

/** The next step about the stores in use. */
export type ViewStep =
  | { readonly kind: 'view'; readonly view: StoreView; readonly reason: string }
  | { readonly kind: 'retired'; readonly store: string };

/**
 * Plans one change of the stores in use. A store that has lost its disk is taken in again as a new
 * one; a store that is to leave, or is gone, gives way to one that is not in use. A store that may
 * still hold its data is replaced only while a quorum of the others holds everything, because the
 * new one is filled from them.
 */
export function planView(input: ViewPlanInput): ViewStep | undefined {
  const { view } = input;
  if (view === undefined) return found(input);
  return (
    readmit(input, view) ??
    move(input, view) ??
    replaceLeaving(input, view) ??
    replaceSilent(input, view) ??
    completeRetirement(input, view)
  );
}

function found(input: ViewPlanInput): ViewStep | undefined {
  const size = viewSizeFor(input.toleratedLosses);
  const chosen = spreadOverZones(available(input, []), []).slice(0, size);
  if (chosen.length < size) return undefined;
  const members = chosen.map((known) => memberOf(known, FIRST_EPOCH));
  const quorum = input.toleratedLosses + 1;
  return { kind: 'view', view: { epoch: FIRST_EPOCH, members, quorum }, reason: 'founded' };
}

/** A member that came back under another life of its folder knows nothing any more. */
function readmit(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  for (const member of view.members) {
    const store = input.stores.find(({ node }) => node.name === member.name);
    if (store === undefined || store.node.dataLife === member.dataLife) continue;
    return replace(view, member, store, `${member.name} has lost its disk`);
  }
  return undefined;
}

/** A member whose address changed keeps what it holds. */
function move(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  for (const member of view.members) {
    const store = input.stores.find(({ node }) => node.name === member.name);
    if (store === undefined || store.node.address === member.address) continue;
    const moved = { ...member, address: store.node.address };
    const members = view.members.map((other) => (other === member ? moved : other));
    const next = { ...view, epoch: view.epoch + 1, members };
    return { kind: 'view', view: next, reason: `${member.name} has another address` };
  }
  return undefined;
}

function replaceLeaving(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  const leaving = view.members.find(({ name }) => input.retirements.has(name));
  if (leaving === undefined) return undefined;
  return replaceBySpare(input, view, leaving, `${leaving.name} is to be taken away`);
}

function replaceSilent(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  if (!input.silenceCounts) return undefined;
  const names = input.stores.map(({ node }) => node.name);
  const silent = view.members.find(({ name }) => !names.includes(name));
  if (silent === undefined) return undefined;
  return replaceBySpare(input, view, silent, `${silent.name} is silent`);
}

function replaceBySpare(
  input: ViewPlanInput,
  view: StoreView,
  member: ViewMember,
  reason: string,
): ViewStep | undefined {
  const others = view.members.filter((other) => other !== member);
  const complete = others.filter((other) => isComplete(input, other));
  if (complete.length < view.quorum) return undefined;
  const [spare] = spreadOverZones(available(input, view.members), others);
  return spare === undefined ? undefined : replace(view, member, spare, reason);
}

function completeRetirement(input: ViewPlanInput, view: StoreView): ViewStep | undefined {
  const names = view.members.map(({ name }) => name);
  const settled = view.members.every(
    (member) => isComplete(input, member) && knowsEpoch(input, member, view.epoch),
  );
  if (!settled) return undefined;
  for (const [store, state] of input.retirements) {
    if (state === 'running' && !names.includes(store)) return { kind: 'retired', store };
  }
  return undefined;
}

function replace(view: StoreView, member: ViewMember, store: KnownNode, reason: string): ViewStep {
  const epoch = view.epoch + 1;
  const newcomer = memberOf(store, epoch);
  const members = view.members.map((other) => (other === member ? newcomer : other));
  return {
    kind: 'view',
    view: { ...view, epoch, members },
    reason: `${reason}; ${newcomer.name} is taken in`,
  };
}

/** Stores that are there, not in use and not to leave. */
function available(input: ViewPlanInput, used: readonly ViewMember[]): readonly KnownNode[] {
  const names = used.map(({ name }) => name);
  return input.stores.filter(
    ({ node }) => !names.includes(node.name) && !input.retirements.has(node.name),
  );
}

function isComplete(input: ViewPlanInput, member: ViewMember): boolean {
  const store = input.stores.find(({ node }) => node.name === member.name);
  return store?.node.dataLife === member.dataLife && store.status?.completeFor === member.joined;
}

function knowsEpoch(input: ViewPlanInput, member: ViewMember, epoch: number): boolean {
  const store = input.stores.find(({ node }) => node.name === member.name);
  return (store?.status?.viewEpoch ?? 0) >= epoch;
}

function memberOf({ node }: KnownNode, joined: number): ViewMember {
  const { name, address, availabilityZone, dataLife } = node;
  return { name, address, availabilityZone, dataLife, joined };
}

/** Orders stores so that each next one stands in the zone with the fewest chosen so far. */
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

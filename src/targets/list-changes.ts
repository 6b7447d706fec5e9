import type { ListedTarget } from './target';

/** What turns one list of targets into a later one. */
export interface ListChanges {
  /** Ids of targets that are listed no more. */
  readonly gone: readonly string[];
  /** Targets that are new, or of which something has changed. */
  readonly changed: readonly ListedTarget[];
}

/** A list in the order of ids, so that equal lists have equal digests. */
export function sortTargets(list: readonly ListedTarget[]): readonly ListedTarget[] {
  return [...list].sort((left, right) => (left.id < right.id ? -1 : 1));
}

export function changesBetween(
  earlier: readonly ListedTarget[],
  later: readonly ListedTarget[],
): ListChanges {
  const before = new Map(earlier.map((target) => [target.id, JSON.stringify(target)]));
  const changed = later.filter((target) => before.get(target.id) !== JSON.stringify(target));
  for (const { id } of later) before.delete(id);
  return { gone: [...before.keys()], changed };
}

/** The later list, in the order of ids. */
export function applyChanges(
  earlier: readonly ListedTarget[],
  { gone, changed }: ListChanges,
): readonly ListedTarget[] {
  const targets = new Map(earlier.map((target) => [target.id, target]));
  for (const id of gone) targets.delete(id);
  for (const target of changed) targets.set(target.id, target);
  return sortTargets([...targets.values()]);
}

import type { ListedTarget } from './target';

/** Difference between two lists of targets. */
export interface ListChanges {
  /** Ids of targets that were removed from the list. */
  readonly gone: readonly string[];
  /** Targets that were added or modified. */
  readonly changed: readonly ListedTarget[];
}

/** Sorts a list by id, so that equal lists have equal digests. */
export function sortTargets(list: readonly ListedTarget[]): readonly ListedTarget[] {
  return [...list].sort((left, right) => (left.id < right.id ? -1 : 1));
}

export function changesBetween(
  earlier: readonly ListedTarget[],
  later: readonly ListedTarget[],
): ListChanges {
  const earlierTexts = new Map(earlier.map((target) => [target.id, JSON.stringify(target)]));
  const changed = later.filter((target) => earlierTexts.get(target.id) !== JSON.stringify(target));
  for (const { id } of later) earlierTexts.delete(id);
  return { gone: [...earlierTexts.keys()], changed };
}

/** Returns the later list, sorted by id. */
export function applyChanges(
  earlier: readonly ListedTarget[],
  { gone, changed }: ListChanges,
): readonly ListedTarget[] {
  const targets = new Map(earlier.map((target) => [target.id, target]));
  for (const id of gone) targets.delete(id);
  for (const target of changed) targets.set(target.id, target);
  return sortTargets([...targets.values()]);
}

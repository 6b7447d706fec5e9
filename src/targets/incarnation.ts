import type { ListedTarget } from './target';

/** Maximum difference between the wall clocks of a server and a gateway. */
const CLOCK_SKEW_MILLISECONDS = 1000;

/** What a gateway knows about the run of a server that has an id. */
export interface KnownIncarnation {
  /** Start of the server, Unix milliseconds; undefined until a list states it. */
  readonly bornAt: number | undefined;
  /** Wall-clock time at which this process first saw the run on a list. */
  readonly listedAt: number;
}

/** Run of a server that a list entry refers to, relative to the known one of its id. */
export type IncarnationOrder = 'older' | 'same' | 'newer';

/**
 * Compares the start in a list entry with the known run. An entry without a start says nothing about
 * a restart. A first start is that of the known run unless the run was listed before it, so that no
 * state is dropped when the list begins to state the starts.
 */
export function compareIncarnations(
  known: KnownIncarnation,
  bornAt: number | undefined,
): IncarnationOrder {
  if (bornAt === undefined || bornAt === known.bornAt) return 'same';
  if (known.bornAt !== undefined) return bornAt > known.bornAt ? 'newer' : 'older';
  return bornAt > known.listedAt + CLOCK_SKEW_MILLISECONDS ? 'newer' : 'same';
}

/**
 * Returns one entry per id, in the order of first occurrence: the one with the latest start. The
 * first one applies if the starts are equal or one is missing.
 */
export function selectTargets(list: readonly ListedTarget[]): readonly ListedTarget[] {
  const selected = new Map<string, ListedTarget>();
  for (const target of list) {
    const earlier = selected.get(target.id);
    if (earlier === undefined || isLaterStart(target.bornAt, earlier.bornAt))
      selected.set(target.id, target);
  }
  return [...selected.values()];
}

function isLaterStart(bornAt: number | undefined, other: number | undefined): boolean {
  return bornAt !== undefined && other !== undefined && bornAt > other;
}

/**
 * Whether a server may have a turn in its cache that ended at `endedAt` (wall clock). A turn that
 * ended within the clock skew of the start may have run before the start.
 */
export function holdsTurn({ bornAt }: Pick<ListedTarget, 'bornAt'>, endedAt: number): boolean {
  return bornAt === undefined || endedAt > bornAt + CLOCK_SKEW_MILLISECONDS;
}

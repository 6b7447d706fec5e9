import { digestValue } from '../core';
import type { Configuration } from './schema';

/** One entry that differs between two configurations. */
export interface Change {
  readonly section: 'availability-zone' | 'team' | 'budget' | 'program' | 'service' | 'pool';
  readonly name: string;
  readonly change: 'added' | 'removed' | 'changed';
}

interface NamedEntry {
  readonly name: string;
}

/**
 * Lists the entries of `next` that were added, changed or removed, in the order of the sections.
 */
export function diffConfigurations(
  current: Configuration | undefined,
  next: Configuration,
): readonly Change[] {
  const sections = [
    ['availability-zone', current?.availabilityZones, next.availabilityZones],
    ['team', current?.teams, next.teams],
    ['budget', current?.budgets, next.budgets],
    ['program', current?.programs, next.programs],
    ['service', current?.services, next.services],
    ['pool', current?.pools, next.pools],
  ] as const;
  return sections.flatMap(([section, before, after]) => diffEntries(section, before ?? [], after));
}

function diffEntries(
  section: Change['section'],
  before: readonly NamedEntry[],
  after: readonly NamedEntry[],
): readonly Change[] {
  const digests = new Map(before.map((entry) => [entry.name, digestValue(entry)]));
  const nextNames = new Set(after.map((entry) => entry.name));
  const addedOrChanged = after.flatMap((entry): readonly Change[] => {
    const digest = digests.get(entry.name);
    if (digest === undefined) return [{ section, name: entry.name, change: 'added' }];
    if (digest === digestValue(entry)) return [];
    return [{ section, name: entry.name, change: 'changed' }];
  });
  const removed = before
    .filter((entry) => !nextNames.has(entry.name))
    .map((entry): Change => ({ section, name: entry.name, change: 'removed' }));
  return [...addedOrChanged, ...removed];
}

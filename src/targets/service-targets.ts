import type { RandomSource } from '../core';
import type { TargetState } from './state';

/** Number of targets up to which all are compared; larger services are sampled. */
export const UNSAMPLED_LIMIT = 48;

/**
 * Size of the random sample of a large service, by availability zone. The best of 20 is among the
 * least loaded seventh of all targets with a probability of 0.95.
 */
const SAMPLE_SIZE = { sameZone: 10, anyZone: 10 } as const;

/** Targets of one service that are not draining. */
export class ServiceTargets {
  readonly all: readonly TargetState[];
  readonly #byZone: ReadonlyMap<string, readonly TargetState[]>;

  constructor(all: readonly TargetState[]) {
    this.all = all;
    this.#byZone = groupByZone(all);
  }

  /**
   * Selects the targets to compare: all of a small service; the `preferred` ones and a random
   * sample of a large service, which bounds the processor time of a placement.
   */
  select(
    preferred: readonly TargetState[],
    availabilityZone: string,
    random: RandomSource,
  ): readonly TargetState[] {
    if (this.all.length <= UNSAMPLED_LIMIT) return this.all;
    const selected = new Set(preferred);
    addRandomSample(
      this.#byZone.get(availabilityZone) ?? [],
      SAMPLE_SIZE.sameZone,
      selected,
      random,
    );
    addRandomSample(this.all, SAMPLE_SIZE.anyZone, selected, random);
    return [...selected];
  }
}

function addRandomSample(
  states: readonly TargetState[],
  count: number,
  into: Set<TargetState>,
  random: RandomSource,
): void {
  for (let added = 0; added < count; added += 1) {
    const state = states[Math.floor(random.fraction() * states.length)];
    if (state !== undefined) into.add(state);
  }
}

function groupByZone(states: readonly TargetState[]): ReadonlyMap<string, readonly TargetState[]> {
  const zones = new Map<string, TargetState[]>();
  for (const state of states) {
    const { availabilityZone } = state.target;
    const zone = zones.get(availabilityZone);
    if (zone === undefined) zones.set(availabilityZone, [state]);
    else zone.push(state);
  }
  return zones;
}

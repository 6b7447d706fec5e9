import type { RandomSource } from '../core';
import {
  EnginePlacementPolicy,
  type PlacementDecision,
  type PlacementInput,
  type PlacementPolicy,
  SlotPlacementPolicy,
  selectLowestCost,
  excludePaused,
} from './placement';
import type { DecisionSwitches } from './switches';

/** Cycles through the targets and ignores their load, failures and caches. */
class RoundRobinPlacementPolicy implements PlacementPolicy {
  #next = 0;

  place({ candidates }: PlacementInput): PlacementDecision | undefined {
    const considered = excludePaused(candidates);
    const candidate = considered[this.#next % Math.max(1, considered.length)];
    this.#next += 1;
    if (candidate === undefined) return undefined;
    return { candidate, cost: 0, consideredCount: considered.length };
  }
}

/** Selects the target with the fewest requests in flight. */
class LeastLoadPlacementPolicy implements PlacementPolicy {
  place({ candidates }: PlacementInput, random: RandomSource): PlacementDecision | undefined {
    return selectLowestCost(candidates, ({ load }) => load, random);
  }
}

/** Selects the target that caches most of the prompt; the load only breaks ties. */
class PrefixAffinityPlacementPolicy implements PlacementPolicy {
  place(input: PlacementInput, random: RandomSource): PlacementDecision | undefined {
    const { candidates, lastTarget, lastTargetCachedTokens } = input;
    const mostCachedTokens = Math.max(
      ...candidates.map(({ id, cachedTokens }) =>
        id === lastTarget ? Math.max(cachedTokens, lastTargetCachedTokens) : cachedTokens,
      ),
    );
    const caching = candidates.filter(
      ({ id, cachedTokens }) =>
        cachedTokens === mostCachedTokens ||
        (id === lastTarget && lastTargetCachedTokens === mostCachedTokens),
    );
    return selectLowestCost(caching, ({ load }) => load, random);
  }
}

/** Policies for engine services and for plain services with a number of slots. */
export interface PlacementPolicies {
  readonly engine: PlacementPolicy;
  readonly slot: PlacementPolicy;
  /** For requests that must disturb as few others as possible. */
  readonly leastLoad: PlacementPolicy;
}

/** Creates the policies that the `placement-policy` setting names. */
export function createPlacementPolicies(switches: DecisionSwitches): PlacementPolicies {
  return { ...createNamedPolicies(switches), leastLoad: new LeastLoadPlacementPolicy() };
}

function createNamedPolicies(switches: DecisionSwitches): Omit<PlacementPolicies, 'leastLoad'> {
  switch (switches['placement-policy']) {
    case 'soonest':
      return {
        engine: new EnginePlacementPolicy(switches),
        slot: new SlotPlacementPolicy(switches),
      };
    case 'round-robin':
      return { engine: new RoundRobinPlacementPolicy(), slot: new RoundRobinPlacementPolicy() };
    case 'least-load':
      return { engine: new LeastLoadPlacementPolicy(), slot: new LeastLoadPlacementPolicy() };
    case 'prefix-affinity':
      return { engine: new PrefixAffinityPlacementPolicy(), slot: new LeastLoadPlacementPolicy() };
  }
}

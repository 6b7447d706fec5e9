import type { RandomSource } from '../core';
import {
  EnginePlacer,
  type PlacementDecision,
  type PlacementSnapshot,
  type Placer,
  SlotPlacer,
  cheapest,
  reachable,
} from './placement';
import type { DecisionSwitches } from './switches';

/** Target after target, whatever is known of them. */
class RoundRobinPlacer implements Placer {
  #next = 0;

  place({ candidates }: PlacementSnapshot): PlacementDecision | undefined {
    const considered = reachable(candidates);
    const candidate = considered[this.#next % Math.max(1, considered.length)];
    this.#next += 1;
    if (candidate === undefined) return undefined;
    return { candidate, cost: 0, weighed: considered.length };
  }
}

/** The target with the fewest requests under way. */
class LeastLoadPlacer implements Placer {
  place({ candidates }: PlacementSnapshot, random: RandomSource): PlacementDecision | undefined {
    return cheapest(candidates, ({ load }) => load, random);
  }
}

/** The target that holds most of the prompt, whatever its load; the least loaded of several. */
class PrefixAffinityPlacer implements Placer {
  place(snapshot: PlacementSnapshot, random: RandomSource): PlacementDecision | undefined {
    const { candidates, lastTarget, lastHeldTokens } = snapshot;
    const held = Math.max(
      ...candidates.map(({ id, heldTokens }) =>
        id === lastTarget ? Math.max(heldTokens, lastHeldTokens) : heldTokens,
      ),
    );
    const holding = candidates.filter(
      ({ id, heldTokens }) => heldTokens === held || (id === lastTarget && lastHeldTokens === held),
    );
    return cheapest(holding, ({ load }) => load, random);
  }
}

/** Placers for the two kinds of services. */
export interface Placers {
  readonly engine: Placer;
  readonly slot: Placer;
}

/** The placers of the policy that the settings name. */
export function createPlacers(switches: DecisionSwitches): Placers {
  switch (switches['placement-policy']) {
    case 'soonest':
      return { engine: new EnginePlacer(switches), slot: new SlotPlacer(switches) };
    case 'round-robin':
      return { engine: new RoundRobinPlacer(), slot: new RoundRobinPlacer() };
    case 'least-load':
      return { engine: new LeastLoadPlacer(), slot: new LeastLoadPlacer() };
    case 'prefix-affinity':
      return { engine: new PrefixAffinityPlacer(), slot: new LeastLoadPlacer() };
  }
}

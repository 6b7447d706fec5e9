import type { RandomSource } from '../core';
import type { TargetState } from './state';
import type { PromptPart } from './target';

/** What the choice of a target rests on. */
export interface PlacementRequest {
  readonly parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Engine that holds the cache of what is continued. */
  readonly lastTarget: string | undefined;
  /** Tokens of the prompt that the last target holds. */
  readonly heldTokens: number;
}

/** A choice with what decided it, for the log. */
export interface Placement {
  readonly state: TargetState;
  /** Milliseconds for an engine, a share of its slots for a plain service. */
  readonly cost: number;
  readonly candidates: number;
}

export interface Placer {
  /** Chooses among targets; nothing if there is none left. */
  place(
    candidates: readonly TargetState[],
    request: PlacementRequest,
    random: RandomSource,
  ): Placement | undefined;
}

/** Prompt tokens that an engine reads in a millisecond; the slowest of the users' engines. */
const PREFILL_TOKENS_PER_MILLISECOND = 38;

/** How much longer a turn takes for each other one at its engine: 35 tokens of 0.15 ms. */
const COMPANY_MILLISECONDS = 6;

/** What a request over zones costs: the way there, and the price of its bytes. Milliseconds. */
const ZONE_MILLISECONDS = 8;

/** What it costs on the average to try a turn that fails again; milliseconds. */
const FAILURE_MILLISECONDS = 500;

/** Places a turn where it is done soonest: tokens to be read, company there, and the way. */
export class EnginePlacer implements Placer {
  readonly #availabilityZone: string;

  constructor(availabilityZone: string) {
    this.#availabilityZone = availabilityZone;
  }

  place(
    candidates: readonly TargetState[],
    request: PlacementRequest,
    random: RandomSource,
  ): Placement | undefined {
    return cheapest(candidates, (state) => this.#cost(state, request), random);
  }

  #cost(state: TargetState, request: PlacementRequest): number {
    const unread = request.promptTokens - heldTokens(state, request);
    return (
      Math.max(0, unread) / PREFILL_TOKENS_PER_MILLISECOND +
      state.load * COMPANY_MILLISECONDS +
      state.failureShare * FAILURE_MILLISECONDS +
      (state.target.availabilityZone === this.#availabilityZone ? 0 : ZONE_MILLISECONDS)
    );
  }
}

/** Tokens of a prompt that an engine most likely holds. */
function heldTokens(state: TargetState, request: PlacementRequest): number {
  const known = state.heldTokens(request.parts);
  return state.target.id === request.lastTarget ? Math.max(known, request.heldTokens) : known;
}

/** Share of a target's slots by which one in another zone must be freer. */
const ZONE_SHARE = 0.2;

/** Share of its slots by which a target that fails every request must be freer than others. */
const FAILURE_WEIGHT = 2;

/** Places a call at the target with the largest share of free slots, preferably nearby. */
export class SlotPlacer implements Placer {
  readonly #availabilityZone: string;

  constructor(availabilityZone: string) {
    this.#availabilityZone = availabilityZone;
  }

  place(
    candidates: readonly TargetState[],
    _request: PlacementRequest,
    random: RandomSource,
  ): Placement | undefined {
    return cheapest(candidates, (state) => this.#cost(state), random);
  }

  #cost(state: TargetState): number {
    const near = state.target.availabilityZone === this.#availabilityZone;
    const load = state.load / Math.max(1, state.target.slots);
    return load + state.failureShare * FAILURE_WEIGHT + (near ? 0 : ZONE_SHARE);
  }
}

/** The cheapest of the targets that did not fail lately, or of all if all did. */
function cheapest(
  candidates: readonly TargetState[],
  costOf: (state: TargetState) => number,
  random: RandomSource,
): Placement | undefined {
  const sound = candidates.filter((state) => !state.isPaused);
  const considered = sound.length > 0 ? sound : candidates;
  let best: TargetState | undefined;
  let bestCost = Infinity;
  let ties = 0;
  for (const state of considered) {
    const cost = costOf(state);
    if (cost > bestCost) continue;
    ties = cost === bestCost ? ties + 1 : 1;
    if (ties > 1 && random.fraction() * ties >= 1) continue;
    best = state;
    bestCost = cost;
  }
  if (best === undefined) return undefined;
  return { state: best, cost: bestCost, candidates: considered.length };
}

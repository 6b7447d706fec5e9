import type { RandomSource } from '../core';
import type { DecisionSwitches } from './switches';

/** What is known of one target when a request is placed. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Requests under way there, of all gateways as far as known. */
  readonly load: number;
  /** Share of the requests there that failed lately, 0 to 1. */
  readonly failureShare: number;
  /** Whether it can't be reached at present. */
  readonly isPaused: boolean;
  /** Tokens of the prompt that it holds, as this process knows from what it has sent. */
  readonly heldTokens: number;
}

/** What the choice of a target rests on. */
export interface PlacementSnapshot {
  /** Zone of the process that chooses. */
  readonly availabilityZone: string;
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Engine that holds the cache of what is continued. */
  readonly lastTarget: string | undefined;
  /** Tokens of the prompt that the last target holds. */
  readonly lastHeldTokens: number;
  readonly candidates: readonly PlacementCandidate[];
}

/** The choice, with what decided it. */
export interface PlacementDecision {
  readonly candidate: PlacementCandidate;
  /** Milliseconds for an engine, a share of its slots for a plain service. */
  readonly cost: number;
  /** Targets that were weighed. */
  readonly weighed: number;
}

/** Chooses a target for a request. */
export interface Placer {
  /** Nothing if there is no candidate. */
  place(snapshot: PlacementSnapshot, random: RandomSource): PlacementDecision | undefined;
}

/** Prompt tokens that an engine reads in a millisecond; the slowest of the users' engines. */
const PREFILL_TOKENS_PER_MILLISECOND = 38;

/** How much longer a turn takes for each other one at its engine: 35 tokens of 0.15 ms. */
const COMPANY_MILLISECONDS = 6;

/** What a request over zones costs: the way there, and the price of its bytes. Milliseconds. */
const ZONE_MILLISECONDS = 8;

/** What it costs on the average to try a turn that fails again; milliseconds. */
const FAILURE_MILLISECONDS = 500;

/**
 * Places a turn where it is done soonest: tokens to be read, company there, and the way. Answers bursts
 * of turns whose prompts are partly held: an engine that holds a prompt is left only where its company
 * costs more than reading the prompt again.
 */
export class EnginePlacer implements Placer {
  readonly #switches: DecisionSwitches;

  constructor(switches: DecisionSwitches) {
    this.#switches = switches;
  }

  place(snapshot: PlacementSnapshot, random: RandomSource): PlacementDecision | undefined {
    return cheapest(snapshot.candidates, (candidate) => this.#cost(candidate, snapshot), random);
  }

  #cost(candidate: PlacementCandidate, snapshot: PlacementSnapshot): number {
    const switches = this.#switches;
    const unread = Math.max(0, snapshot.promptTokens - this.#held(candidate, snapshot));
    const isNear = !switches.zones || candidate.availabilityZone === snapshot.availabilityZone;
    const failures = switches['failure-shares'] ? candidate.failureShare : 0;
    return (
      unread / PREFILL_TOKENS_PER_MILLISECOND +
      candidate.load * COMPANY_MILLISECONDS +
      failures * FAILURE_MILLISECONDS +
      (isNear ? 0 : ZONE_MILLISECONDS)
    );
  }

  /** Tokens of the prompt that an engine most likely holds. */
  #held({ id, heldTokens }: PlacementCandidate, snapshot: PlacementSnapshot): number {
    const known = this.#switches['held-parts'] ? heldTokens : 0;
    const isLast = this.#switches['last-target'] && id === snapshot.lastTarget;
    return isLast ? Math.max(known, snapshot.lastHeldTokens) : known;
  }
}

/** Share of a target's slots by which one in another zone must be freer. */
const ZONE_SHARE = 0.2;

/** Share of its slots by which a target that fails every request must be freer than others. */
const FAILURE_WEIGHT = 2;

/**
 * Places a call at the target with the largest share of free slots, preferably nearby. Answers calls
 * that come faster than one target works them off, and targets that fail a part of them.
 */
export class SlotPlacer implements Placer {
  readonly #switches: DecisionSwitches;

  constructor(switches: DecisionSwitches) {
    this.#switches = switches;
  }

  place(snapshot: PlacementSnapshot, random: RandomSource): PlacementDecision | undefined {
    return cheapest(snapshot.candidates, (candidate) => this.#cost(candidate, snapshot), random);
  }

  #cost(candidate: PlacementCandidate, { availabilityZone }: PlacementSnapshot): number {
    const switches = this.#switches;
    const isNear = !switches.zones || candidate.availabilityZone === availabilityZone;
    const failures = switches['failure-shares'] ? candidate.failureShare : 0;
    const load = candidate.load / Math.max(1, candidate.slots);
    return load + failures * FAILURE_WEIGHT + (isNear ? 0 : ZONE_SHARE);
  }
}

/** The cheapest of the targets that can be reached, or of all if none can; chance breaks ties. */
export function cheapest(
  candidates: readonly PlacementCandidate[],
  costOf: (candidate: PlacementCandidate) => number,
  random: RandomSource,
): PlacementDecision | undefined {
  const considered = reachable(candidates);
  let best: PlacementCandidate | undefined;
  let bestCost = Infinity;
  let ties = 0;
  for (const candidate of considered) {
    const cost = costOf(candidate);
    if (cost > bestCost) continue;
    ties = cost === bestCost ? ties + 1 : 1;
    if (ties > 1 && random.fraction() * ties >= 1) continue;
    best = candidate;
    bestCost = cost;
  }
  if (best === undefined) return undefined;
  return { candidate: best, cost: bestCost, weighed: considered.length };
}

/** The targets that can be reached, or all if none can. */
export function reachable(
  candidates: readonly PlacementCandidate[],
): readonly PlacementCandidate[] {
  if (!candidates.some(({ isPaused }) => isPaused)) return candidates;
  const sound = candidates.filter(({ isPaused }) => !isPaused);
  return sound.length > 0 ? sound : candidates;
}

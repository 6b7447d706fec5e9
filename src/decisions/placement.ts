import type { RandomSource } from '../core';
import type { DecisionSwitches } from './switches';

/** State of one target at the time of a placement. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  /** Requests that the target processes concurrently. */
  readonly slots: number;
  /** Requests in flight, including those that other gateways reported. */
  readonly load: number;
  /** Decaying share of failed requests, 0 to 1. */
  readonly failureShare: number;
  /** Whether the target is excluded: it could not be reached, or another server has its address. */
  readonly isPaused: boolean;
  /** Prompt tokens in the target's cache, estimated from what this process has sent to it. */
  readonly cachedTokens: number;
  /** Whether this gateway has an idle connection to the target. */
  readonly hasIdleConnection: boolean;
}

export interface PlacementInput {
  /** Availability zone of this gateway. */
  readonly availabilityZone: string;
  readonly promptTokens: number;
  /** Target of the previous turn of the conversation. */
  readonly lastTarget: string | undefined;
  /** Prompt tokens in the cache of `lastTarget`. */
  readonly lastTargetCachedTokens: number;
  /** Time that opening a connection takes on this host; milliseconds. */
  readonly newConnectionMilliseconds: number;
  readonly candidates: readonly PlacementCandidate[];
}

export interface PlacementDecision {
  readonly candidate: PlacementCandidate;
  /** Milliseconds for an engine, a share of the slots for other targets. */
  readonly cost: number;
  /** Number of targets that were compared. */
  readonly consideredCount: number;
}

/** Algorithm that selects a target for a request. */
export interface PlacementPolicy {
  /** Returns undefined if there is no candidate. */
  place(input: PlacementInput, random: RandomSource): PlacementDecision | undefined;
}

/** Prefill rate of the slowest engines of the users. */
const PREFILL_TOKENS_PER_MILLISECOND = 38;

/** Delay of a turn for each other request in flight at the engine: 35 tokens of 0.15 ms. */
const CONTENTION_MILLISECONDS_PER_REQUEST = 6;

/** Cost of a request to another zone: latency and the price of its traffic. */
const CROSS_ZONE_PENALTY_MILLISECONDS = 8;

/** Average cost of a failed turn that has to be retried. */
const FAILURE_PENALTY_MILLISECONDS = 500;

/**
 * Selects the engine with the lowest estimated completion time: prefill of uncached tokens,
 * Selects the engine with the lowest estimated completion time: prefill of uncached tokens,
 * contention, expected failures, cross-zone latency and the time to open a connection. Answers bursts
 * of turns whose prompts are partly cached: a conversation moves to another engine only if contention
 * costs more than the prefill there.
 */
export class EnginePlacementPolicy implements PlacementPolicy {
  readonly #switches: DecisionSwitches;

  constructor(switches: DecisionSwitches) {
    this.#switches = switches;
  }

  place(input: PlacementInput, random: RandomSource): PlacementDecision | undefined {
    return selectLowestCost(input.candidates, (candidate) => this.#cost(candidate, input), random);
  }

  #cost(candidate: PlacementCandidate, input: PlacementInput): number {
    const switches = this.#switches;
    const uncachedTokens = Math.max(0, input.promptTokens - this.#cachedTokens(candidate, input));
    const isSameZone = !switches.zones || candidate.availabilityZone === input.availabilityZone;
    const failures = switches['failure-shares'] ? candidate.failureShare : 0;
    return (
      uncachedTokens / PREFILL_TOKENS_PER_MILLISECOND +
      candidate.load * CONTENTION_MILLISECONDS_PER_REQUEST +
      failures * FAILURE_PENALTY_MILLISECONDS +
      (isSameZone ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS) +
      (candidate.hasIdleConnection ? 0 : input.newConnectionMilliseconds)
    );
  }

  /** Estimated number of prompt tokens in the engine's cache. */
  #cachedTokens({ id, cachedTokens }: PlacementCandidate, input: PlacementInput): number {
    const trackedTokens = this.#switches['held-parts'] ? cachedTokens : 0;
    const isLast = this.#switches['last-target'] && id === input.lastTarget;
    return isLast ? Math.max(trackedTokens, input.lastTargetCachedTokens) : trackedTokens;
  }
}

/** Cost of a target in another zone, as a share of its slots. */
const CROSS_ZONE_SLOT_SHARE = 0.2;

/** Converts a delay into a share of the slots, in the ratio of the two costs of another zone. */
const SLOT_SHARE_PER_MILLISECOND = CROSS_ZONE_SLOT_SHARE / CROSS_ZONE_PENALTY_MILLISECONDS;

/** Cost of a target that fails every request, as a share of its slots. */
const FAILURE_SLOT_SHARE = 2;

/**
 * Selects the target with the largest share of free slots, with penalties for failures, for targets
 * in another zone and for opening a connection. Answers calls that arrive faster than one target
 * serves them, and targets that fail a part of them.
 */
export class SlotPlacementPolicy implements PlacementPolicy {
  readonly #switches: DecisionSwitches;

  constructor(switches: DecisionSwitches) {
    this.#switches = switches;
  }

  place(input: PlacementInput, random: RandomSource): PlacementDecision | undefined {
    return selectLowestCost(input.candidates, (candidate) => this.#cost(candidate, input), random);
  }

  #cost(candidate: PlacementCandidate, input: PlacementInput): number {
    const { availabilityZone, newConnectionMilliseconds } = input;
    const switches = this.#switches;
    const isSameZone = !switches.zones || candidate.availabilityZone === availabilityZone;
    const failures = switches['failure-shares'] ? candidate.failureShare : 0;
    const load = candidate.load / Math.max(1, candidate.slots);
    const connectMilliseconds = candidate.hasIdleConnection ? 0 : newConnectionMilliseconds;
    return (
      load +
      failures * FAILURE_SLOT_SHARE +
      (isSameZone ? 0 : CROSS_ZONE_SLOT_SHARE) +
      connectMilliseconds * SLOT_SHARE_PER_MILLISECOND
    );
  }
}

/**
 * Selects the candidate with the lowest cost among those that are not paused, or among all if all
 * are paused. Ties are broken at random.
 */
export function selectLowestCost(
  candidates: readonly PlacementCandidate[],
  costOf: (candidate: PlacementCandidate) => number,
  random: RandomSource,
): PlacementDecision | undefined {
  const considered = excludePaused(candidates);
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
  return { candidate: best, cost: bestCost, consideredCount: considered.length };
}

/** Returns the candidates that are not paused, or all of them if all are paused. */
export function excludePaused(
  candidates: readonly PlacementCandidate[],
): readonly PlacementCandidate[] {
  if (!candidates.some(({ isPaused }) => isPaused)) return candidates;
  const unpaused = candidates.filter(({ isPaused }) => !isPaused);
  return unpaused.length > 0 ? unpaused : candidates;
}

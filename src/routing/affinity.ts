import {
  type Candidate,
  type RoutingChoice,
  type RoutingPolicy,
  type RoutingRequest,
  type ScoredCandidate,
  callsAt,
  chooseLowest,
} from './policy';

/** What a call is expected to cost at a target; all in milliseconds. */
export interface AffinityOptions {
  /** Wait for each call that is at the target already. */
  readonly queueMilliseconds?: number;
  /** Prefill of one token that the target does not hold in its cache. */
  readonly prefillMilliseconds?: number;
}

/**
 * Takes the target with the lowest expected time to the first token: network, queue, and the
 * prefill of what its cache does not hold. A program stays with the target of its last turn until
 * that one's queue costs more than computing the history again elsewhere.
 */
export class AffinityPolicy implements RoutingPolicy {
  readonly name = 'affinity';
  readonly #queueMilliseconds: number;
  readonly #prefillMilliseconds: number;

  constructor(options: AffinityOptions = {}) {
    this.#queueMilliseconds = options.queueMilliseconds ?? 20;
    this.#prefillMilliseconds = options.prefillMilliseconds ?? 0.05;
  }

  choose(request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice {
    const scored = candidates.map((candidate) => this.#score(request, candidate));
    return chooseLowest(scored, (best) =>
      best.target === request.lastTarget ? 'holds-history' : 'lowest-cost',
    );
  }

  #score(request: RoutingRequest, candidate: Candidate): ScoredCandidate {
    const held = candidate.target === request.lastTarget;
    const tokens = request.newTokens + (held ? 0 : request.contextTokens);
    const parts = {
      network: candidate.distanceMilliseconds * 2,
      queue: callsAt(candidate) * this.#queueMilliseconds,
      prefill: Math.round(tokens * this.#prefillMilliseconds * 1000) / 1000,
    };
    const score = parts.network + parts.queue + parts.prefill;
    return { target: candidate.target, score, parts };
  }
}

import {
  type Candidate,
  type RoutingChoice,
  type RoutingPolicy,
  type RoutingRequest,
  type ScoredCandidate,
  outstandingCalls,
  chooseLowest,
} from './policy';

export interface AffinityOptions {
  /** Expected queueing delay for each outstanding call at the target. */
  readonly queueMillisecondsPerCall?: number;
  /** Prefill time of one token that is not in the target's cache. */
  readonly prefillMillisecondsPerToken?: number;
}

/**
 * Selects the target with the lowest expected time to first token: network, queueing, and prefill
 * of uncached tokens. A program stays with the target of its last turn until queueing there costs
 * more than prefilling the history at another target.
 */
export class AffinityPolicy implements RoutingPolicy {
  readonly name = 'affinity';
  readonly #queueMillisecondsPerCall: number;
  readonly #prefillMillisecondsPerToken: number;

  constructor(options: AffinityOptions = {}) {
    this.#queueMillisecondsPerCall = options.queueMillisecondsPerCall ?? 20;
    this.#prefillMillisecondsPerToken = options.prefillMillisecondsPerToken ?? 0.05;
  }

  choose(request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice {
    const scored = candidates.map((candidate) => this.#score(request, candidate));
    return chooseLowest(scored, (best) =>
      best.target === request.lastTarget ? 'holds-history' : 'lowest-cost',
    );
  }

  #score(request: RoutingRequest, candidate: Candidate): ScoredCandidate {
    const isCached = candidate.target === request.lastTarget;
    const tokens = request.newTokens + (isCached ? 0 : request.contextTokens);
    const parts = {
      network: candidate.networkLatencyMilliseconds * 2,
      queue: outstandingCalls(candidate) * this.#queueMillisecondsPerCall,
      prefill: Math.round(tokens * this.#prefillMillisecondsPerToken * 1000) / 1000,
    };
    const score = parts.network + parts.queue + parts.prefill;
    return { target: candidate.target, score, parts };
  }
}

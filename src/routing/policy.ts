/** State of a target as known to one entry process. */
export interface Candidate {
  readonly target: string;
  /** Outstanding calls from this entry process to the target. */
  readonly ownCalls: number;
  /** Outstanding calls of others at the target, as last reported. */
  readonly otherCalls: number;
  /** One-way network latency from this entry process. */
  readonly networkLatencyMilliseconds: number;
}

export interface RoutingRequest {
  readonly program: string;
  readonly service: string;
  /** Target of the program's last turn, which likely caches the history. */
  readonly lastTarget: string | undefined;
  /** Tokens of the history that `lastTarget` has processed. */
  readonly contextTokens: number;
  /** Upper bound of the tokens that no target has processed. */
  readonly newTokens: number;
}

/** A lower score is better; `parts` are the components of the score. */
export interface ScoredCandidate {
  readonly target: string;
  readonly score: number;
  readonly parts: Readonly<Record<string, number>>;
}

export interface RoutingChoice {
  /** Undefined if there is no candidate. */
  readonly target: string | undefined;
  readonly reason: string;
  readonly candidates: readonly ScoredCandidate[];
}

/** Algorithm that selects a target for a call. */
export interface RoutingPolicy {
  readonly name: string;
  choose(request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice;
}

/**
 * Selects the candidate with the lowest score. Ties are broken by name, so the result is
 * deterministic.
 */
export function chooseLowest(
  scored: readonly ScoredCandidate[],
  reasonFor: (best: ScoredCandidate) => string,
): RoutingChoice {
  const candidates = [...scored].sort(
    (left, right) => left.score - right.score || (left.target < right.target ? -1 : 1),
  );
  const [best] = candidates;
  if (best === undefined) return { target: undefined, reason: 'no-candidate', candidates };
  return { target: best.target, reason: reasonFor(best), candidates };
}

/** Outstanding calls at a target. */
export function outstandingCalls(candidate: Candidate): number {
  return candidate.ownCalls + candidate.otherCalls;
}

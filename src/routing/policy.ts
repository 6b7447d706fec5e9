import type { Load } from '../protocol';

/** A target that could take a call, as one entry sees it now. */
export interface Candidate {
  readonly target: string;
  readonly load: Load;
  /** Calls of this entry that the target has not answered yet. */
  readonly ownCalls: number;
  /** One-way network time from this entry. */
  readonly distanceMilliseconds: number;
}

/** What the decision knows of the call. */
export interface RoutingRequest {
  readonly program: string;
  readonly service: string;
  /** Target of the program's last turn, which likely holds its history in cache. */
  readonly lastTarget: string | undefined;
  /** Tokens of the history that the last target has worked on. */
  readonly contextTokens: number;
  /** Tokens that no target has seen, at most. */
  readonly newTokens: number;
}

/** A candidate's score, lower being better, and what it is made of. */
export interface ScoredCandidate {
  readonly target: string;
  readonly score: number;
  readonly parts: Readonly<Record<string, number>>;
}

export interface RoutingChoice {
  /** Absent when there is no candidate. */
  readonly target: string | undefined;
  readonly reason: string;
  readonly candidates: readonly ScoredCandidate[];
}

/** A rule that chooses a target for a call. */
export interface RoutingPolicy {
  readonly name: string;
  choose(request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice;
}

/** The candidate with the lowest score; equal scores go by name, so that a choice is repeatable. */
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

/** Calls at a target: what it reported, or what this entry alone has sent if that is more. */
export function callsAt(candidate: Candidate): number {
  return Math.max(candidate.load.running + candidate.load.waiting, candidate.ownCalls);
}

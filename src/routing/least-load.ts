import {
  type Candidate,
  type RoutingChoice,
  type RoutingPolicy,
  type RoutingRequest,
  outstandingCalls,
  chooseLowest,
} from './policy';

/** Baseline that selects the target with the fewest outstanding calls. */
export class LeastLoadPolicy implements RoutingPolicy {
  readonly name = 'least-load';

  choose(_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice {
    const scored = candidates.map((candidate) => {
      const calls = outstandingCalls(candidate);
      return { target: candidate.target, score: calls, parts: { calls } };
    });
    return chooseLowest(scored, () => 'fewest-calls');
  }
}

import {
  type Candidate,
  type RoutingChoice,
  type RoutingPolicy,
  type RoutingRequest,
  callsAt,
  chooseLowest,
} from './policy';

/** Takes the target with the fewest calls; a baseline. */
export class LeastLoadPolicy implements RoutingPolicy {
  readonly name = 'least-load';

  choose(_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice {
    const scored = candidates.map((candidate) => {
      const calls = callsAt(candidate);
      return { target: candidate.target, score: calls, parts: { calls } };
    });
    return chooseLowest(scored, () => 'fewest-calls');
  }
}

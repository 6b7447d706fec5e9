import type { Candidate, RoutingChoice, RoutingPolicy, RoutingRequest } from './policy';

/** Baseline that cycles through the targets in the order of their names. */
export class RoundRobinPolicy implements RoutingPolicy {
  readonly name = 'round-robin';
  #next = 0;

  choose(_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice {
    const sorted = [...candidates].sort((left, right) => (left.target < right.target ? -1 : 1));
    const selected = sorted[this.#next % Math.max(1, sorted.length)];
    this.#next += 1;
    const scored = sorted.map(({ target }) => ({ target, score: 0, parts: {} }));
    const reason = selected === undefined ? 'no-candidate' : 'next-in-turn';
    return { target: selected?.target, reason, candidates: scored };
  }
}

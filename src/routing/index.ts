import { AffinityPolicy } from './affinity';
import { LeastLoadPolicy } from './least-load';
import type { RoutingPolicy } from './policy';
import { RoundRobinPolicy } from './round-robin';

export { AffinityPolicy, type AffinityOptions } from './affinity';
export { LeastLoadPolicy } from './least-load';
export {
  type Candidate,
  type RoutingChoice,
  type RoutingPolicy,
  type RoutingRequest,
  type ScoredCandidate,
} from './policy';
export { RoundRobinPolicy } from './round-robin';

export type RoutingPolicyName = 'round-robin' | 'least-load' | 'affinity';

export function createRoutingPolicy(name: RoutingPolicyName): RoutingPolicy {
  switch (name) {
    case 'round-robin':
      return new RoundRobinPolicy();
    case 'least-load':
      return new LeastLoadPolicy();
    case 'affinity':
      return new AffinityPolicy();
  }
}

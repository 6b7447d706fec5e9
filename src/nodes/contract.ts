import type { ClusterContract } from '../cluster';
import type { LoadContract } from '../targets';
import type { TurnContract } from '../turns';

/** Everything that the system's processes say to one another. */
export interface SystemContract {
  readonly calls: ClusterContract['calls'] & TurnContract['calls'];
  readonly casts: ClusterContract['casts'] & TurnContract['casts'] & LoadContract['casts'];
}

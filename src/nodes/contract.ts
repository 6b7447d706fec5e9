import type { ClusterContract } from '../cluster';
import type { LoadContract, TargetListContract } from '../targets';
import type { TurnContract } from '../turns';

/** Everything that the system's processes say to one another. */
export interface SystemContract {
  readonly calls: ClusterContract['calls'] & TurnContract['calls'] & TargetListContract['calls'];
  readonly casts: ClusterContract['casts'] & TurnContract['casts'] & LoadContract['casts'];
}

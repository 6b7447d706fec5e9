import type { ClusterContract } from '../cluster';
import type { DemandContract, LoadContract, TargetListContract } from '../targets';
import type { TurnContract } from '../turns';

/** All calls and one-way messages between the system's processes. */
export interface SystemContract {
  readonly calls: ClusterContract['calls'] & TurnContract['calls'] & TargetListContract['calls'];
  readonly casts: ClusterContract['casts'] &
    TurnContract['casts'] &
    LoadContract['casts'] &
    DemandContract['casts'];
}

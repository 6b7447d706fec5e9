import type { ClusterContract } from '../cluster';
import type { CrashContract } from '../crashes';
import type { DemandContract, LoadContract, TargetListContract } from '../targets';
import type { TurnContract } from '../turns';

/** All calls and one-way messages between the system's processes. */
export interface SystemContract {
  readonly calls: ClusterContract['calls'] &
    TurnContract['calls'] &
    TargetListContract['calls'] &
    CrashContract['calls'];
  readonly casts: ClusterContract['casts'] &
    TurnContract['casts'] &
    CrashContract['casts'] &
    LoadContract['casts'] &
    DemandContract['casts'];
}

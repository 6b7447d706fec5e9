import type { CutDirection } from './simulated-network';

/** Selects a host with a replica: 0 is the leader, and hosts that are cut off come last. */
export type HostSelector = number;

export type FaultAction =
  | {
      readonly kind: 'kill';
      readonly hosts: readonly HostSelector[] | 'all';
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'lose-power';
      readonly hosts: readonly HostSelector[] | 'all';
      readonly downMilliseconds: number;
    }
  /** Empties disks of stores, while the others run, are killed or lose power. */
  | {
      readonly kind: 'lose-stores';
      readonly stores: readonly number[];
      readonly others: 'run' | 'kill' | 'lose-power';
      readonly downMilliseconds: number;
    }
  /** Empties disks, while the other hosts run, are killed or lose power. */
  | {
      readonly kind: 'lose-disks';
      readonly hosts: readonly HostSelector[];
      readonly others: 'run' | 'kill' | 'lose-power';
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'cut';
      readonly host: HostSelector;
      readonly direction: CutDirection;
      readonly milliseconds: number;
    }
  /** Separates the hosts with a replica into two groups. */
  | {
      readonly kind: 'split';
      readonly hosts: readonly HostSelector[];
      readonly milliseconds: number;
    }
  | { readonly kind: 'suspend'; readonly host: HostSelector; readonly milliseconds: number }
  | { readonly kind: 'slow-disk'; readonly host: HostSelector; readonly milliseconds: number }
  | { readonly kind: 'lose-messages'; readonly fraction: number; readonly milliseconds: number };

export type Action =
  | FaultAction
  | { readonly kind: 'wait'; readonly milliseconds: number }
  | { readonly kind: 'configure'; readonly through: number }
  | { readonly kind: 'read'; readonly through: number }
  /**
   * Sends a configuration that some hosts do not receive; the fault comes in the moment of its
   * acknowledgement.
   */
  | {
      readonly kind: 'configure-then';
      readonly through: number;
      readonly laggards: readonly HostSelector[];
      readonly isLeaderSlow: boolean;
      readonly fault: FaultAction;
    }
  /** Restarts all gateways, one after the other. */
  | {
      readonly kind: 'roll';
      readonly intervalMilliseconds: number;
      readonly drainMilliseconds: number;
    }
  | { readonly kind: 'transfer-leadership' }
  | { readonly kind: 'add-host' }
  | {
      readonly kind: 'replace-host';
      readonly host: HostSelector;
      readonly keepsName: boolean;
      readonly keepsDisk: boolean;
      readonly milliseconds: number;
    }
  /** Reserves tokens of one program through several gateways at once. */
  | { readonly kind: 'reserve'; readonly program: number; readonly through: readonly number[] }
  /** The same; the fault comes in the moment of the first grant. */
  | {
      readonly kind: 'reserve-then';
      readonly program: number;
      readonly through: readonly number[];
      readonly laggards: readonly number[];
      readonly fault: FaultAction;
    };

export interface ClusterSchedule {
  readonly seed: number;
  /** Number of hosts with a replica at the first start. */
  readonly replicas: number;
  /** Whether the actions begin only once all hosts have caught up after the first start. */
  readonly startsCalm: boolean;
  /** The first configuration is acknowledged before the first action. */
  readonly actions: readonly Action[];
}

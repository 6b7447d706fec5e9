export type NodeKind = 'gateway' | 'store';

/** Description that a process sends of itself. */
export interface NodeInfo {
  /** Name of the host, and of the process on it. */
  readonly name: string;
  readonly kind: NodeKind;
  /** IP:port on which it accepts connections of other processes. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Whether its disk holds a replica of the cluster state. */
  readonly keepsClusterState: boolean;
  /** Random identifier of this run of the process. */
  readonly run: string;
  /** Identifies the content of its data folder; new after a lost disk, empty without a disk. */
  readonly dataLife: string;
}

/** State of a process that changes while it runs. */
export interface NodeStatus {
  readonly configurationVersion: number;
  readonly viewEpoch: number;
  /** Of a store: the epoch at which it joined, once its backfill is complete. */
  readonly completeFor: number;
}

export interface KnownNode {
  readonly node: NodeInfo;
  /** Status in its last heartbeat; undefined if it is known only from the reports of others. */
  readonly status: NodeStatus | undefined;
  /** Monotonic time of its last heartbeat, or of the last report if none came; milliseconds. */
  readonly lastSeenAt: number;
}

/** What kind of work a process of the system does. */
export type NodeKind = 'gateway' | 'store';

/** One process of the system, as it describes itself. */
export interface NodeInfo {
  /** The host's name, which is the process's name as well. */
  readonly name: string;
  readonly kind: NodeKind;
  /** IP:port of its connections with other processes. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Whether its disk holds a copy of the cluster's state. */
  readonly keepsClusterState: boolean;
  /** This run of the process; drawn at each start. */
  readonly run: string;
  /** This life of its data folder; another one after a lost disk. Empty without a disk. */
  readonly dataLife: string;
}

/** What changes about a process while it runs. */
export interface NodeStatus {
  readonly configurationVersion: number;
  readonly viewEpoch: number;
  /** Of a store: the epoch at which it joined the view for which it holds everything. */
  readonly completeFor: number;
}

/** A process that this one knows of. */
export interface KnownNode {
  readonly node: NodeInfo;
  /** What it last said of itself directly; nothing if this process knows it by hearsay only. */
  readonly status: NodeStatus | undefined;
  /** Monotonic time of its last direct greeting, or of the last hearsay; milliseconds. */
  readonly heardAt: number;
}

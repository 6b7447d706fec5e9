import type { QuotaGrants, QuotaReport } from '../quotas';
import type { Envelope } from '../replication';
import type { NodeInfo, NodeStatus } from './node';
import type { PackedText } from './packed-text';
import type { ClusterCommand, CommandOutcome } from './state-machine';
import type { RetirementState, StoreView } from './view';

/** The leader of the cluster state as last known to a process; it may be outdated. */
export interface LeaderHint {
  readonly name: string;
  readonly address: string;
  readonly term: number;
}

export interface HeartbeatRequest {
  readonly node: NodeInfo;
  readonly status: NodeStatus;
  /** Digest of the nodes known to the sender, as in `NodeDirectory.digest`. */
  readonly nodesDigest: string;
}

export interface HeartbeatResponse {
  readonly node: NodeInfo;
  /** Nodes known to the responder; undefined if the digests are equal. */
  readonly nodes: readonly NodeInfo[] | undefined;
  readonly leader: LeaderHint | undefined;
  readonly configurationVersion: number;
  readonly viewEpoch: number;
  /**
   * Whether the responder leads, so that no configuration newer than `configurationVersion` had
   * been acknowledged when it responded. Earlier versions omit it.
   */
  readonly confirms?: boolean;
}

export interface VersionedConfiguration {
  readonly version: number;
  /** Text as submitted by the operator. */
  readonly text: PackedText;
}

export interface RolloutRequest {
  readonly version: number;
  /** Time to wait. */
  readonly milliseconds: number;
}

/** Response of a replica to a call that only the leader can serve. */
export type LeaderAnswer<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  | { readonly kind: 'not-leader'; readonly leader: LeaderHint | undefined }
  | { readonly kind: 'not-now'; readonly reason: string };

export type RetirementOutcome = RetirementState | 'unknown-store' | 'too-few-stores';

/** Calls and casts between the processes of a cluster. */
export interface ClusterContract {
  readonly calls: {
    readonly 'cluster.greet': {
      readonly request: HeartbeatRequest;
      readonly answer: HeartbeatResponse;
    };
    /**
     * Requests permission of the first seed to bootstrap the cluster state; the request is the host
     * name.
     */
    readonly 'cluster.found': { readonly request: string; readonly answer: boolean };
    readonly 'cluster.propose': {
      readonly request: ClusterCommand;
      readonly answer: LeaderAnswer<CommandOutcome>;
    };
    /** Waits until a committed version is in force at every gateway that the leader hears from. */
    readonly 'cluster.inForce': {
      readonly request: RolloutRequest;
      readonly answer: LeaderAnswer<true>;
    };
    readonly 'cluster.read': {
      readonly request: null;
      readonly answer: LeaderAnswer<VersionedConfiguration | undefined>;
    };
    readonly 'cluster.retire': {
      readonly request: string;
      readonly answer: LeaderAnswer<RetirementOutcome>;
    };
    readonly 'cluster.retirement': {
      readonly request: string;
      readonly answer: LeaderAnswer<RetirementOutcome>;
    };
    /** Requests shares of team quotas. */
    readonly 'cluster.quotas': {
      readonly request: QuotaReport;
      readonly answer: LeaderAnswer<QuotaGrants>;
    };
    readonly 'cluster.configuration': {
      readonly request: null;
      readonly answer: VersionedConfiguration | undefined;
    };
    readonly 'cluster.view': { readonly request: null; readonly answer: StoreView | undefined };
  };
  readonly casts: {
    readonly 'cluster.replicate': readonly Envelope[];
    readonly 'cluster.configured': VersionedConfiguration;
    readonly 'cluster.viewed': StoreView;
  };
}

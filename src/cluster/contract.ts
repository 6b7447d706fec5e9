import type { QuotaGrants, QuotaReport } from '../quotas';
import type { Envelope } from '../replication';
import type { NodeInfo, NodeStatus } from './node';
import type { ClusterCommand, CommandOutcome } from './machine';
import type { RetirementState, StoreView } from './view';

/** Who leads the cluster's state, as far as a process knows. */
export interface LeaderHint {
  readonly name: string;
  readonly address: string;
  readonly term: number;
}

export interface Greeting {
  readonly node: NodeInfo;
  readonly status: NodeStatus;
  /** Digest of the list of nodes that the asker has. */
  readonly nodesDigest: string;
}

export interface GreetingAnswer {
  readonly node: NodeInfo;
  /** The nodes that the answerer knows; left out if the asker has the same list. */
  readonly nodes: readonly NodeInfo[] | undefined;
  readonly leader: LeaderHint | undefined;
  readonly configurationVersion: number;
  readonly viewEpoch: number;
  /**
   * Whether the answerer leads, so that no newer configuration than it names was acknowledged before it
   * answered. Former builds leave it out.
   */
  readonly confirms?: boolean;
}

/** A configuration as it was accepted. */
export interface VersionedConfiguration {
  readonly version: number;
  /** The operators' own text. */
  readonly text: string;
}

/** Answer of a member of the replicated state to what only its leader may do. */
export type LeaderAnswer<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  | { readonly kind: 'not-leader'; readonly leader: LeaderHint | undefined }
  | { readonly kind: 'not-now'; readonly reason: string };

export type RetirementOutcome = RetirementState | 'unknown-store' | 'too-few-stores';

/** What processes ask of one another to form one system. */
export interface ClusterContract {
  readonly calls: {
    readonly 'cluster.greet': { readonly request: Greeting; readonly answer: GreetingAnswer };
    /** Asks the first seed for the right to found the replicated state. */
    readonly 'cluster.found': { readonly request: string; readonly answer: boolean };
    readonly 'cluster.propose': {
      readonly request: ClusterCommand;
      readonly answer: LeaderAnswer<CommandOutcome>;
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
    /** Asks the leader for parts of teams' quotas. */
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

export { ClusterClient, type ClusterClientOptions, type ConfigurationText } from './client';
export { LeaderConfirmation } from './leader-confirmation';
export type { ClusterContract, RetirementOutcome, VersionedConfiguration } from './contract';
export { NodeDirectory } from './directory';
export { ClusterUnavailableError } from './errors';
export { ClusterBootstrap } from './bootstrap';
export { HeartbeatSender, type HeartbeatSenderOptions } from './heartbeat-sender';
export { type ClusterCommand, ClusterStateMachine, type CommandOutcome } from './state-machine';
export { ClusterStateCache, newestState, type ClusterStateCacheOptions } from './state-cache';
export { ClusterReplica } from './replica';
export { type PackedText, packText, packedLengthOf, unpackText } from './packed-text';
export { LatestValue } from './latest-value';
export type { KnownNode, NodeInfo, NodeKind, NodeStatus } from './node';
export { ClusterService, type ReplicaComponents } from './service';
export {
  FIRST_EPOCH,
  type MemberEntry,
  type StoreView,
  type ViewMember,
  storeViewSchema,
  viewSizeFor,
} from './view';
export { ViewController } from './view-controller';
export { type ViewPlanInput, type ViewStep, planView } from './view-plan';

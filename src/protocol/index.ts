export {
  ControlClient,
  type ControlClientOptions,
  type ControlMember,
  ControlUnavailableError,
} from './control-client';
export {
  ATTEMPT_PREFIX,
  CALL_PREFIX,
  HEADERS,
  type RunOutcome,
  formatLoad,
  parseLoad,
} from './headers';
export { HttpListener, type HealthSource, handleHealthRequest } from './http-listener';
export type {
  ControlApi,
  DeliveryResult,
  EntryLivenessResult,
  FoundProgram,
  GroupEnvelopes,
  ActiveConfigurationResult,
  KnownTerm,
  OrderOffer,
} from './router';
export type {
  DirectoryChanges,
  GroupStatus,
  GroupSummary,
  Heartbeat,
  Load,
  NodeState,
  NodeStatus,
  NotLeader,
  Acknowledgement,
  Status,
  TargetRecord,
  TeamStatus,
  Watch,
  WatchChanges,
} from './schemas';
export {
  ControlSession,
  type ControlSessionOptions,
  applyConfigurationChange,
} from './control-session';

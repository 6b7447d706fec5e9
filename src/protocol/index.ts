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
export { HttpListener, type HealthSource, answerHealth } from './listen';
export type {
  ControlApi,
  Delivered,
  EntryLife,
  FoundProgram,
  GroupEnvelopes,
  InForce,
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
  Noted,
  Status,
  TargetRecord,
  TeamStatus,
  Watch,
  WatchChanges,
} from './schemas';
export { Presence, type PresenceOptions, adoptChanges } from './presence';

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
export type { ControlApi, Delivered, FoundProgram, InForce } from './router';
export type {
  ConfigurationContent,
  DirectoryChanges,
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

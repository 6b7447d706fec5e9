export { type ProposalFailure, ReplicationError } from './errors';
export { type Envelope, type LogEntry, type RaftMessage, raftMessageSchema } from './messages';
export type { RaftOutput } from './outbox';
export { RaftMember, type RaftOptions, type RaftRole } from './raft';
export {
  ReplicatedLog,
  type ReplicatedLogOptions,
  type ReplicationTransport,
  type StateMachine,
} from './replicated-log';

export { type ProposalFailure, ReplicationError } from './errors';
export {
  type Envelope,
  type LogEntry,
  type RaftMessage,
  envelopeSchema,
  hostOf,
  raftMessageSchema,
} from './messages';
export { type Membership, allMembers, nameOf } from './membership';
export type { RaftOutput } from './outbox';
export { RaftMember } from './raft';
export type { RaftOptions, RaftRole } from './raft-options';
export type {
  LogView,
  ReplicatedLogOptions,
  ReplicationTransport,
  StateMachine,
} from './log-options';
export { ReplicatedLog } from './replicated-log';

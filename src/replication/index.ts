export { type ProposalFailure, ReplicationError } from './errors';
export {
  type Envelope,
  type LogEntry,
  type RaftMessage,
  envelopeSchema,
  destinationHostOf,
  raftMessageSchema,
} from './messages';
export { type Membership, allMembers, hostNameOf } from './membership';
export type { RaftOutput } from './outbox';
export { RaftMember } from './raft-member';
export type { RaftOptions, RaftRole } from './raft-options';
export type {
  LogView,
  ReplicatedLogOptions,
  ReplicationTransport,
  StateMachine,
} from './replicated-log-options';
export { ReplicatedLog } from './replicated-log';

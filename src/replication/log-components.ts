import { Compactor } from './compactor';
import { MembershipReconciler } from './membership-reconciler';
import type { Envelope } from './messages';
import { RaftMember } from './raft-member';
import type { StoredMember } from './records';
import type { ReplicatedLogOptions } from './replicated-log-options';
import { SnapshotExchange } from './snapshot-exchange';

/** Election timeouts without an answer after which a member counts as unresponsive. */
const UNRESPONSIVE_ELECTION_TIMEOUTS = 2;

/** The parts of a replicated log that are created once its store has been read. */
export interface LogComponents {
  readonly member: RaftMember;
  readonly snapshotExchange: SnapshotExchange;
  readonly membershipReconciler: MembershipReconciler;
  readonly compactor: Compactor;
}

export interface LogComponentsOptions<Result> {
  readonly log: ReplicatedLogOptions<Result>;
  readonly stored: StoredMember & { readonly incarnation: string };
  /** Host name and incarnation of the member. */
  readonly identity: string;
  readonly send: (envelope: Envelope) => void;
  /** Runs a change of the state; the member fails if it throws. */
  readonly attempt: (change: () => void) => void;
  /** Throws once the member has failed. */
  readonly requireIntact: () => void;
}

export function createLogComponents<Result>({
  log,
  stored,
  identity,
  send,
  attempt,
  requireIntact,
}: LogComponentsOptions<Result>): LogComponents {
  const { self, hosts, electionMilliseconds = 500 } = log;
  const { incarnation } = stored;
  const member = new RaftMember({ ...log, ...stored, self: identity });
  return {
    member,
    snapshotExchange: new SnapshotExchange({
      self: identity,
      send,
      onFailure: (peer) => {
        attempt(() => {
          member.recordSnapshotFailure(peer);
        });
      },
    }),
    membershipReconciler: new MembershipReconciler({
      self,
      identity,
      hosts,
      send,
      unresponsiveMilliseconds: electionMilliseconds * UNRESPONSIVE_ELECTION_TIMEOUTS,
      onChange: (membership, reason) => log.onMembership?.(membership, reason),
    }),
    compactor: new Compactor({ ...log, incarnation, member, requireIntact }),
  };
}

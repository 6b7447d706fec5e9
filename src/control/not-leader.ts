import type { NotLeader } from '../protocol';
import { type LogView, hostNameOf } from '../replication';

/** Names the leader only if it is known and another host. */
export function notLeaderOutcome(self: string, log: Pick<LogView, 'leader'>): NotLeader {
  const leader = log.leader === undefined ? undefined : hostNameOf(log.leader);
  return { outcome: 'not-leader', leader: leader === self ? undefined : leader };
}

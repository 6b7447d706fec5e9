import type { NotLeader } from '../protocol';
import { type LogView, hostNameOf } from '../replication';

/** Answers for a group that this host does not lead, naming the leader if that is another host. */
export function redirect(self: string, log: Pick<LogView, 'leader'>): NotLeader {
  const leader = log.leader === undefined ? undefined : hostNameOf(log.leader);
  return { outcome: 'not-leader', leader: leader === self ? undefined : leader };
}

import type { NotLeader } from '../protocol';
import { type LogView, nameOf } from '../replication';

/** Answers for a group that this host does not lead, naming the leader if that is another host. */
export function redirect(self: string, log: Pick<LogView, 'leader'>): NotLeader {
  const leader = log.leader === undefined ? undefined : nameOf(log.leader);
  return { outcome: 'not-leader', leader: leader === self ? undefined : leader };
}

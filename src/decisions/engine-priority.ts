/** Engines accept priorities 0 (highest) to 9 (lowest). */
const ENGINE_PRIORITIES = { highest: 2, step: 3, lowest: 9 };

/** Number of route priorities that are distinguished within one team priority. */
const ROUTE_PRIORITY_LEVELS = 3;

/**
 * Priorities with fair shares. All turns of a team over its share come after all turns of the other
 * teams, so that it uses only capacity that nobody else waits for; its most important routes come
 * first among these.
 */
const SHARED_PRIORITIES = { lowestWithinShare: 7, urgentOverShare: 8, overShare: 9 } as const;

interface Prioritized {
  readonly priority: number;
}

/** Present only where teams have fair shares of the engines. */
export interface PriorityShares {
  readonly isOverShare: boolean;
}

/**
 * Priority that is sent to an engine, 0 being the highest. Answers engines that are full: they admit
 * higher priorities first. The priority of the team takes precedence over that of the route.
 */
export function enginePriority(
  route: Prioritized,
  team: Prioritized | undefined,
  shares?: PriorityShares,
): number {
  if (shares === undefined) return usualPriority(route, team);
  const { lowestWithinShare, urgentOverShare, overShare } = SHARED_PRIORITIES;
  if (shares.isOverShare) return route.priority === 0 ? urgentOverShare : overShare;
  return Math.min(usualPriority(route, team), lowestWithinShare);
}

function usualPriority(route: Prioritized, team: Prioritized | undefined): number {
  const { highest, step, lowest } = ENGINE_PRIORITIES;
  if (team === undefined) return Math.min(highest + route.priority * step, lowest);
  const level = Math.min(route.priority, ROUTE_PRIORITY_LEVELS - 1);
  return Math.min(team.priority * ROUTE_PRIORITY_LEVELS + level, lowest);
}

/** Engines accept priorities 0 (highest) to 9 (lowest). */
const ENGINE_PRIORITIES = { highest: 2, step: 3, lowest: 9 };

/** Number of route priorities that are distinguished within one team priority. */
const ROUTE_PRIORITY_LEVELS = 3;

interface Prioritized {
  readonly priority: number;
}

/**
 * Priority that is sent to an engine, 0 being the highest. Answers engines that are full: they admit
 * higher priorities first. The priority of the team takes precedence over that of the route.
 */
export function enginePriority(route: Prioritized, team: Prioritized | undefined): number {
  const { highest, step, lowest } = ENGINE_PRIORITIES;
  if (team === undefined) return Math.min(highest + route.priority * step, lowest);
  const level = Math.min(route.priority, ROUTE_PRIORITY_LEVELS - 1);
  return Math.min(team.priority * ROUTE_PRIORITY_LEVELS + level, lowest);
}

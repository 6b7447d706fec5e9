/** Priorities that engines know are 0 to 9, 0 first. */
const ENGINE_PRIORITY = { first: 2, step: 3, last: 9 };

/** Levels of a route's priority that are told apart within one priority of a team. */
const ROUTE_LEVELS = 3;

interface Ranked {
  readonly priority: number;
}

/**
 * The priority with which engines order a request's turns, 0 first. Answers engines that are full: the
 * more urgent kind of program is admitted ahead of the other. A team's priority goes before its route's.
 */
export function enginePriority(route: Ranked, team: Ranked | undefined): number {
  const { first, step, last } = ENGINE_PRIORITY;
  if (team === undefined) return Math.min(first + route.priority * step, last);
  const level = Math.min(route.priority, ROUTE_LEVELS - 1);
  return Math.min(team.priority * ROUTE_LEVELS + level, last);
}

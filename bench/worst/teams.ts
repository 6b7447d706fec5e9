/** Callers of one team in a simulated load. */
export interface SimulatedTeam {
  readonly name: string;
  readonly priority: number;
  /** Usual rate of new programs. */
  readonly programsPerSecond: number;
  /** Quota in requests per second, which determines the team's share of the engines. */
  readonly quota: number;
}

/** Turns per second of a team that starts one program per second; see `REFERENCE_KINDS`. */
const TURNS_PER_PROGRAM = 5.4;

/** Quotas exceed the usual load, so that a team can send a burst. */
const QUOTA_FACTOR = 6;

function createTeam(name: string, programsPerSecond: number): SimulatedTeam {
  const quota = programsPerSecond * TURNS_PER_PROGRAM * QUOTA_FACTOR;
  return { name, priority: 1, programsPerSecond, quota };
}

/** The team of a flood; a quarter of the usual load. */
export const LARGE_TEAM = createTeam('large', 7);

/** Teams of one priority that start 30 programs per second together. */
export const REFERENCE_TEAMS: readonly SimulatedTeam[] = [
  LARGE_TEAM,
  ...Array.from({ length: 3 }, (_, index) => createTeam(`medium-${index}`, 3)),
  ...Array.from({ length: 14 }, (_, index) => createTeam(`small-${index}`, 1)),
];

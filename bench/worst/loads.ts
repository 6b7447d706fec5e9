import type { EngineParameters } from './engine';
import { REFERENCE_ENGINE } from './engine';
import type { Fleet } from './fleet';
import { LARGE_TEAM, REFERENCE_TEAMS, type SimulatedTeam } from './teams';
import type { TallyFilter, Workload } from './workload';

/** A worst-case load in simulated time. */
export interface LoadScenario {
  readonly name: string;
  readonly description: string;
  readonly engineParameters: EngineParameters;
  /** Multiple of the base rate of new programs at a simulated time, in milliseconds, of a team. */
  readonly rateFactor: (now: number, team?: SimulatedTeam) => number;
  /** Time during which programs start. */
  readonly durationMilliseconds: number;
  /** Teams that the programs belong to; their usual rates replace the base rate. */
  readonly teams?: readonly SimulatedTeam[];
  /** Programs that are also counted by themselves, by the time of their start and their team. */
  readonly counted?: TallyFilter;
  /** Events at a simulated time in milliseconds. */
  readonly events?: readonly {
    readonly at: number;
    readonly apply: (fleet: Fleet, workload: Workload) => void;
  }[];
}

const DURATION_MILLISECONDS = 12_000;

/** Start and end of the loads from teams; milliseconds. */
const FLOOD = { from: 4000, until: 11_000 } as const;

const FLOOD_DURATION_MILLISECONDS = 14_000;

function factorBetween(from: number, to: number, factor: number): LoadScenario['rateFactor'] {
  return (now) => (now >= from && now < to ? factor : 1);
}

function slowEngines(share: number, factor: number) {
  return (fleet: Fleet) => {
    const engines = [...fleet.engines.values()];
    for (const engine of engines.slice(0, Math.round(engines.length * share))) {
      engine.stepTimeFactor = factor;
    }
  };
}

export const LOAD_SCENARIOS: readonly LoadScenario[] = [
  {
    name: 'usual-rate',
    description: 'base rate without faults, for comparison',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: () => 1,
    durationMilliseconds: DURATION_MILLISECONDS,
  },
  {
    name: 'burst',
    description: 'twice the base rate for three seconds',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: factorBetween(4000, 7000, 2),
    durationMilliseconds: DURATION_MILLISECONDS,
  },
  {
    name: 'lasting-burst',
    description: 'one and a half times the base rate until the end',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: factorBetween(4000, DURATION_MILLISECONDS, 1.5),
    durationMilliseconds: DURATION_MILLISECONDS,
  },
  {
    name: 'beyond-capacity',
    description: 'four times the base rate for two seconds',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: factorBetween(4000, 6000, 4),
    durationMilliseconds: DURATION_MILLISECONDS,
  },
  {
    name: 'return-of-all',
    description: 'sixty programs start at once, as after a power failure of the whole site',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: () => 0.5,
    durationMilliseconds: DURATION_MILLISECONDS,
    events: [
      {
        at: 4000,
        apply: (_fleet, workload) => {
          for (let program = 0; program < 60; program += 1) workload.startProgram();
        },
      },
    ],
  },
  {
    name: 'half-a-zone-gone',
    description: 'every second engine of one zone is removed from the target list',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: () => 1.2,
    durationMilliseconds: DURATION_MILLISECONDS,
    events: [
      {
        at: 4000,
        apply: (fleet) => {
          fleet.removeEngines((index) => index % 6 === 0);
        },
      },
    ],
  },
  {
    name: 'slow-engines',
    description: 'steps of a quarter of the engines take three times as long',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: () => 1,
    durationMilliseconds: DURATION_MILLISECONDS,
    events: [{ at: 4000, apply: slowEngines(0.25, 3) }],
  },
  {
    name: 'small-memory',
    description: 'engine caches hold a third of the prompts in use',
    engineParameters: { ...REFERENCE_ENGINE, memoryTokens: 24_000 },
    rateFactor: () => 1.2,
    durationMilliseconds: DURATION_MILLISECONDS,
  },
  {
    name: 'team-flood',
    description:
      'one team sends 5.5 times its usual load for seven seconds; counts the other teams',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: (now, team) =>
      team === LARGE_TEAM ? factorBetween(FLOOD.from, FLOOD.until, 5.5)(now) : 1,
    durationMilliseconds: FLOOD_DURATION_MILLISECONDS,
    teams: REFERENCE_TEAMS,
    counted: { ...FLOOD, includes: (team) => team !== LARGE_TEAM },
  },
  {
    name: 'burst-of-all-teams',
    description: 'all teams send twice their usual load for seven seconds; counts that time',
    engineParameters: REFERENCE_ENGINE,
    rateFactor: factorBetween(FLOOD.from, FLOOD.until, 2),
    durationMilliseconds: FLOOD_DURATION_MILLISECONDS,
    teams: REFERENCE_TEAMS,
    counted: { ...FLOOD, includes: () => true },
  },
];

import type { EngineParameters } from './engine';
import { REFERENCE_ENGINE } from './engine';
import type { Fleet } from './fleet';
import type { Workload } from './workload';

/** A worst-case load in simulated time. */
export interface LoadScenario {
  readonly name: string;
  readonly description: string;
  readonly engineParameters: EngineParameters;
  /** Multiple of the base rate of new programs at a simulated time; milliseconds. */
  readonly rateFactor: (now: number) => number;
  /** Time during which programs start. */
  readonly durationMilliseconds: number;
  /** Events at a simulated time in milliseconds. */
  readonly events?: readonly {
    readonly at: number;
    readonly apply: (fleet: Fleet, workload: Workload) => void;
  }[];
}

const DURATION_MILLISECONDS = 12_000;

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
];

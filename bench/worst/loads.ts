import type { EngineFacts } from './engine';
import { CARRIER_ENGINE } from './engine';
import type { Fleet } from './fleet';
import type { Workload } from './workload';

/** A load at its worst, in simulated time. */
export interface WorstLoad {
  readonly name: string;
  /** What it stands for. */
  readonly what: string;
  readonly facts: EngineFacts;
  /** Programs a second as a multiple of the usual rate; `now` in milliseconds. */
  readonly rate: (now: number) => number;
  /** Milliseconds in which programs begin. */
  readonly length: number;
  /** What happens besides, by the time at which it does; milliseconds. */
  readonly events?: readonly {
    readonly at: number;
    readonly act: (fleet: Fleet, workload: Workload) => void;
  }[];
}

const LENGTH = 12_000;

function between(from: number, to: number, rate: number): WorstLoad['rate'] {
  return (now) => (now >= from && now < to ? rate : 1);
}

function slowDown(share: number, times: number) {
  return (fleet: Fleet) => {
    const engines = [...fleet.engines.values()];
    for (const engine of engines.slice(0, Math.round(engines.length * share))) {
      engine.slowness = times;
    }
  };
}

export const WORST_LOADS: readonly WorstLoad[] = [
  {
    name: 'usual-rate',
    what: 'no trouble, for comparison',
    facts: CARRIER_ENGINE,
    rate: () => 1,
    length: LENGTH,
  },
  {
    name: 'burst',
    what: 'twice the programs for three seconds',
    facts: CARRIER_ENGINE,
    rate: between(4000, 7000, 2),
    length: LENGTH,
  },
  {
    name: 'lasting-burst',
    what: 'one and a half times the programs until the end',
    facts: CARRIER_ENGINE,
    rate: between(4000, LENGTH, 1.5),
    length: LENGTH,
  },
  {
    name: 'beyond-capacity',
    what: 'four times the programs for two seconds',
    facts: CARRIER_ENGINE,
    rate: between(4000, 6000, 4),
    length: LENGTH,
  },
  {
    name: 'return-of-all',
    what: 'sixty programs at one moment, as after a loss of all power',
    facts: CARRIER_ENGINE,
    rate: () => 0.5,
    length: LENGTH,
    events: [
      {
        at: 4000,
        act: (_fleet, workload) => {
          for (let program = 0; program < 60; program += 1) workload.begin();
        },
      },
    ],
  },
  {
    name: 'half-a-zone-gone',
    what: 'every second engine of one zone leaves the list',
    facts: CARRIER_ENGINE,
    rate: () => 1.2,
    length: LENGTH,
    events: [
      {
        at: 4000,
        act: (fleet) => {
          fleet.remove((index) => index % 6 === 0);
        },
      },
    ],
  },
  {
    name: 'slow-engines',
    what: 'a quarter of the engines takes three times as long',
    facts: CARRIER_ENGINE,
    rate: () => 1,
    length: LENGTH,
    events: [{ at: 4000, act: slowDown(0.25, 3) }],
  },
  {
    name: 'small-memory',
    what: 'engines hold a third of the prompts in use',
    facts: { ...CARRIER_ENGINE, memoryTokens: 24_000 },
    rate: () => 1.2,
    length: LENGTH,
  },
];

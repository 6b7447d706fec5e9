import { SeededRandom, SystemClock } from '../src/core';
import { EnginePlacer, type PlacementRequest, SlotPlacer, TargetState } from '../src/targets';

/** Decisions of each kind that are timed. */
const DECISIONS = 2000;

/** Decisions before the first that is timed, in which the code is compiled. */
const WARM_UP = 500;

/** Parts of prompts that each engine holds. */
const PARTS_HELD = 200;

const ZONES = ['a', 'b', 'c'];

/** Microseconds of one decision. */
interface DecisionTimes {
  readonly p50: number;
  readonly p99: number;
}

/** Time of one choice of a target, and memory of a target, by the number of targets. */
export function benchDecide(sizes: readonly number[]): void {
  for (const targets of sizes) {
    const before = process.memoryUsage().heapUsed;
    const states = Array.from({ length: targets }, (_, index) => createTarget(index));
    const bytes = Math.max(0, process.memoryUsage().heapUsed - before) / targets;
    const line = {
      targets,
      engine: time((random) => new EnginePlacer('a').place(states, requestAt(random), random)),
      slot: time((random) => new SlotPlacer('a').place(states, requestAt(random), random)),
      kilobytesEach: Math.round(bytes / 1024),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  }
}

function createTarget(index: number): TargetState {
  const listed = {
    id: `t${index}`,
    service: 's',
    address: `10.0.0.1:${index}`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    slots: 16,
    draining: false,
  };
  const state = new TargetState(listed, new SystemClock());
  for (let part = 0; part < PARTS_HELD; part += 1) {
    state.noteParts([{ id: `p${index}-${part}`, tokens: 500 }], 70, Infinity);
  }
  state.inFlight = index % 5;
  return state;
}

/** A turn that goes on with a conversation which one of the engines holds. */
function requestAt(random: SeededRandom): PlacementRequest {
  const parts = [
    { id: 'shared', tokens: 512 },
    { id: `p${Math.floor(random.fraction() * 10)}-7`, tokens: 900 },
  ];
  return { parts, promptTokens: 1412, lastTarget: undefined, heldTokens: 0 };
}

function time(decide: (random: SeededRandom) => unknown): DecisionTimes {
  const random = new SeededRandom(1);
  for (let count = 0; count < WARM_UP; count += 1) decide(random);
  const times: number[] = [];
  for (let count = 0; count < DECISIONS; count += 1) {
    const startedAt = performance.now();
    decide(random);
    times.push((performance.now() - startedAt) * 1000);
  }
  times.sort((left, right) => left - right);
  const at = (share: number) => Math.round(times[Math.floor(times.length * share)] ?? 0);
  return { p50: at(0.5), p99: at(0.99) };
}

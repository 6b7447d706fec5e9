import { SeededRandom, SystemClock, createSilentLogger } from '../src/core';
import {
  DEFAULT_DECISION_SWITCHES,
  type PlacementPolicy,
  createPlacementPolicies,
} from '../src/decisions';
import { type PlacementRequest, TargetChooser, TargetDirectory } from '../src/targets';

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
    const { chooser, fill } = createService(targets);
    fill();
    const bytes = Math.max(0, process.memoryUsage().heapUsed - before) / targets;
    const line = {
      targets,
      engine: time(chooser, PLACERS.engine),
      slot: time(chooser, PLACERS.slot),
      kilobytesEach: Math.round(bytes / 1024),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  }
}

const PLACERS = createPlacementPolicies(DEFAULT_DECISION_SWITCHES);

/** A service of many engines, and what fills them as if they had worked for a while. */
function createService(count: number) {
  const parts = { clock: new SystemClock(), random: new SeededRandom(2) };
  const targets = new TargetDirectory({
    ...parts,
    logger: createSilentLogger(),
    source: { list: () => Promise.resolve([]) },
  });
  const chooser = new TargetChooser({ ...parts, targets, availabilityZone: 'a' });
  const fill = () => {
    targets.update(Array.from({ length: count }, (_, index) => listed(index)));
    for (const state of targets.all()) {
      state.inFlight = Number(state.target.id.slice(1)) % 5;
      for (let part = 0; part < PARTS_HELD; part += 1) {
        const id = `p${state.target.id}-${part}`;
        chooser.recordParts(state, [{ id, tokens: 500 }], 70, Infinity);
      }
    }
  };
  return { chooser, fill };
}

function listed(index: number) {
  return {
    id: `t${index}`,
    service: 's',
    address: `10.0.0.1:${index}`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    slots: 16,
    draining: false,
  };
}

/** A turn that goes on with a conversation which one of the engines holds. */
function requestAt(random: SeededRandom): PlacementRequest {
  const parts = [
    { id: 'shared', tokens: 512 },
    { id: `pt${Math.floor(random.fraction() * 10)}-7`, tokens: 900 },
  ];
  return { parts, promptTokens: 1412, lastTarget: undefined, cachedTokens: 0 };
}

function time(chooser: TargetChooser, placer: PlacementPolicy): DecisionTimes {
  const random = new SeededRandom(1);
  const decide = () =>
    chooser.choose({
      service: 's',
      policy: placer,
      placement: requestAt(random),
      tried: new Set(),
      connectionLimit: 100,
    });
  for (let count = 0; count < WARM_UP; count += 1) decide();
  const times: number[] = [];
  for (let count = 0; count < DECISIONS; count += 1) {
    const startedAt = performance.now();
    decide();
    times.push((performance.now() - startedAt) * 1000);
  }
  times.sort((left, right) => left - right);
  const at = (share: number) => Math.round(times[Math.floor(times.length * share)] ?? 0);
  return { p50: at(0.5), p99: at(0.99) };
}

import { SeededRandom, SystemClock, createSilentLogger } from '../src/core';
import {
  DEFAULT_DECISION_SWITCHES,
  type PlacementPolicy,
  createPlacementPolicies,
} from '../src/decisions';
import { type PlacementRequest, TargetChooser, TargetDirectory } from '../src/targets';

const TIMED_DECISIONS = 2000;

/** Decisions made first and not timed, so that the code is compiled. */
const WARM_UP_DECISIONS = 500;

const CACHED_PARTS_PER_ENGINE = 200;

const ZONES = ['a', 'b', 'c'];

/** Percentiles of the time of one decision; microseconds. */
interface DecisionLatency {
  readonly p50: number;
  readonly p99: number;
}

/** Prints the time of one target selection and the memory per target for each number of targets. */
export function benchDecide(sizes: readonly number[]): void {
  for (const targets of sizes) {
    const before = process.memoryUsage().heapUsed;
    const { chooser, populate } = createService(targets);
    populate();
    const bytes = Math.max(0, process.memoryUsage().heapUsed - before) / targets;
    const line = {
      targets,
      engine: measureDecisions(chooser, POLICIES.engine),
      slot: measureDecisions(chooser, POLICIES.slot),
      kilobytesEach: Math.round(bytes / 1024),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  }
}

const POLICIES = createPlacementPolicies(DEFAULT_DECISION_SWITCHES);

/** A service of `count` engines; `populate` adds them with requests in flight and cached prompt parts. */
function createService(count: number) {
  const context = { clock: new SystemClock(), random: new SeededRandom(2) };
  const targets = new TargetDirectory({
    ...context,
    logger: createSilentLogger(),
    source: { list: () => Promise.resolve([]) },
  });
  const chooser = new TargetChooser({ ...context, targets, availabilityZone: 'a' });
  const populate = () => {
    targets.update(Array.from({ length: count }, (_, index) => createTarget(index)));
    for (const state of targets.all()) {
      state.inFlight = Number(state.target.id.slice(1)) % 5;
      for (let part = 0; part < CACHED_PARTS_PER_ENGINE; part += 1) {
        const id = `p${state.target.id}-${part}`;
        chooser.recordParts(state, [{ id, tokens: 500 }], 70, Infinity);
      }
    }
  };
  return { chooser, populate };
}

function createTarget(index: number) {
  return {
    id: `t${index}`,
    service: 's',
    address: `10.0.0.1:${index}`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    slots: 16,
    draining: false,
  };
}

/** A turn of a conversation whose prefix one of the engines has cached. */
function createRequest(random: SeededRandom): PlacementRequest {
  const parts = [
    { id: 'shared', tokens: 512 },
    { id: `pt${Math.floor(random.fraction() * 10)}-7`, tokens: 900 },
  ];
  return { parts, promptTokens: 1412, lastTarget: undefined, cachedTokens: 0 };
}

function measureDecisions(chooser: TargetChooser, policy: PlacementPolicy): DecisionLatency {
  const random = new SeededRandom(1);
  const decide = () =>
    chooser.choose({
      service: 's',
      policy,
      placement: createRequest(random),
      tried: new Set(),
      connectionLimit: 100,
    });
  for (let count = 0; count < WARM_UP_DECISIONS; count += 1) decide();
  const durations: number[] = [];
  for (let count = 0; count < TIMED_DECISIONS; count += 1) {
    const startedAt = performance.now();
    decide();
    durations.push((performance.now() - startedAt) * 1000);
  }
  durations.sort((left, right) => left - right);
  const quantile = (share: number) =>
    Math.round(durations[Math.floor(durations.length * share)] ?? 0);
  return { p50: quantile(0.5), p99: quantile(0.99) };
}

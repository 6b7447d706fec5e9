import { DEFAULT_DECISION_SWITCHES, type DecisionSwitches } from '../../src/decisions';
import { SimulatedClock } from './simulated-clock';
import { Fleet } from './fleet';
import { LOAD_SCENARIOS, type LoadScenario } from './loads';
import { REFERENCE_KINDS, type ProgramTally, Workload } from './workload';

/** Simulated time after the last start in which programs may complete. */
const COMPLETION_MILLISECONDS = 30_000;

// A size at which concurrent decisions of several gateways conflict.
const ENGINE_COUNT = 12;
const GATEWAY_COUNT = 18;

/** Rate at which nearly all programs of the engines above meet their objectives. */
const BASE_PROGRAMS_PER_SECOND = 30;

export interface Policy {
  readonly name: string;
  readonly switches: DecisionSwitches;
  /** Interval at which gateways exchange their loads. */
  readonly loadIntervalMilliseconds: number;
}

const LOAD_INTERVAL_MILLISECONDS = 20;

const INFREQUENT_LOAD_INTERVAL_MILLISECONDS = 250;

function createPolicy(name: string, switches: Partial<DecisionSwitches> = {}): Policy {
  return {
    name,
    switches: { ...DEFAULT_DECISION_SWITCHES, ...switches },
    loadIntervalMilliseconds: LOAD_INTERVAL_MILLISECONDS,
  };
}

/** Refuses nothing, so that a comparison shows the effect of the placement alone. */
function createPolicyWithoutRefusals(
  name: string,
  switches: Partial<DecisionSwitches> = {},
): Policy {
  return createPolicy(name, { 'overload-refusals': false, ...switches });
}

export const POLICIES: readonly Policy[] = [
  createPolicy('usual'),
  createPolicy('without-fair-shares', { 'fair-shares': false }),
  createPolicyWithoutRefusals('without-refusals'),
  {
    ...createPolicyWithoutRefusals('old-loads'),
    loadIntervalMilliseconds: INFREQUENT_LOAD_INTERVAL_MILLISECONDS,
  },
  createPolicyWithoutRefusals('without-shared-loads', { 'shared-loads': false }),
  createPolicyWithoutRefusals('without-held-parts', { 'held-parts': false }),
  createPolicyWithoutRefusals('without-last-target', { 'last-target': false }),
  createPolicyWithoutRefusals('round-robin', { 'placement-policy': 'round-robin' }),
  createPolicyWithoutRefusals('least-load', { 'placement-policy': 'least-load' }),
  createPolicyWithoutRefusals('prefix-affinity', { 'placement-policy': 'prefix-affinity' }),
];

export interface SimulationResult extends ProgramTally {
  readonly load: string;
  readonly policy: string;
  /** The programs that the load scenario counts by themselves. */
  readonly counted: ProgramTally | undefined;
  /** Maximum of the requests that waited for a slot of one engine. */
  readonly mostWaiting: number;
  /** Prompt tokens that the engines processed for each program on average. */
  readonly prefilledTokensPerProgram: number;
}

/** Simulates a load under a policy; equal seeds give equal results. */
export function simulate(
  load: LoadScenario,
  { name, switches, loadIntervalMilliseconds }: Policy,
  seed: number,
): SimulationResult {
  const clock = new SimulatedClock();
  const { engineParameters, teams } = load;
  const sizes = { engines: ENGINE_COUNT, gateways: GATEWAY_COUNT };
  const fleet = new Fleet({
    ...sizes,
    clock,
    engineParameters,
    switches,
    loadIntervalMilliseconds,
    seed,
    teams: teams ?? [],
  });
  const workload = new Workload({ clock, fleet, engineParameters, kinds: REFERENCE_KINDS, seed });
  for (const team of teams ?? [undefined]) {
    const rate = team?.programsPerSecond ?? BASE_PROGRAMS_PER_SECOND;
    workload.startAtRate(
      load.durationMilliseconds,
      (now) => rate * load.rateFactor(now, team),
      team,
    );
  }
  for (const { at, apply } of load.events ?? []) {
    clock.after(at, () => {
      apply(fleet, workload);
    });
  }
  clock.runUntil(load.durationMilliseconds + COMPLETION_MILLISECONDS);
  const prefilledTokens = [...fleet.engines.values()].reduce(
    (sum, engine) => sum + engine.prefilledTokens,
    0,
  );
  const tally = workload.tally();
  return {
    load: load.name,
    policy: name,
    ...tally,
    counted: load.counted && workload.tally(load.counted),
    mostWaiting: Math.max(...[...fleet.engines.values()].map((engine) => engine.mostWaiting)),
    prefilledTokensPerProgram: Math.round(prefilledTokens / tally.started),
  };
}

/** Prints a Markdown table of all loads under all policies; values are means over the seeds. */
export function benchWorst(seeds: readonly number[]): void {
  process.stdout.write(
    '| Load | Policy | On time | Counted | p50 | p99 | Prefilled tokens per program |\n',
  );
  process.stdout.write('| --- | --- | --- | --- | --- | --- | --- |\n');
  for (const load of LOAD_SCENARIOS) {
    for (const policy of POLICIES) {
      const results = seeds.map((seed) => simulate(load, policy, seed));
      process.stdout.write(`${formatRow(results)}\n`);
    }
  }
}

function formatRow(results: readonly SimulationResult[]): string {
  const mean = (read: (result: SimulationResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  const counted = results.flatMap((result) => result.counted ?? []);
  const countedShare =
    counted.reduce((sum, { onTime }) => sum + onTime, 0) /
    counted.reduce((sum, { started }) => sum + started, 0);
  const [first] = results;
  const cells = [
    first?.load,
    first?.policy,
    `${(mean(({ onTime, started }) => onTime / started) * 100).toFixed(1)}%`,
    counted.length === 0 ? '' : `${(countedShare * 100).toFixed(1)}%`,
    mean(({ p50 }) => p50).toFixed(2),
    mean(({ p99 }) => p99).toFixed(2),
    Math.round(mean(({ prefilledTokensPerProgram }) => prefilledTokensPerProgram)),
  ];
  return `| ${cells.join(' | ')} |`;
}

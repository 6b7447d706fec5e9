import { DEFAULT_DECISION_SWITCHES, type DecisionSwitches } from '../../src/decisions';
import { Calendar } from './calendar';
import { Fleet } from './fleet';
import { WORST_LOADS, type WorstLoad } from './loads';
import { CARRIER_KINDS, type Tally, Workload } from './workload';

/** Time after the last program has begun in which it may end; milliseconds. */
const ENDING_MILLISECONDS = 30_000;

/** A fleet of a size at which decisions by many gateways collide. */
const ENGINES = 12;
const GATEWAYS = 18;

/** Programs a second that these engines bear: nearly all end in time. */
const USUAL_RATE = 30;

/** Ways to decide that are compared. */
export interface Policy {
  readonly name: string;
  readonly switches: DecisionSwitches;
  /** Pause between two times at which gateways learn each other's loads; milliseconds. */
  readonly loadPause: number;
}

const LOAD_PAUSE = 20;

/** Pause that gateways had before they told their loads through a coordinator; milliseconds. */
const OLD_LOAD_PAUSE = 250;

function policy(name: string, switches: Partial<DecisionSwitches> = {}): Policy {
  return { name, switches: { ...DEFAULT_DECISION_SWITCHES, ...switches }, loadPause: LOAD_PAUSE };
}

/** Nothing is refused, so that a comparison shows what the placement alone does. */
function placement(name: string, switches: Partial<DecisionSwitches> = {}): Policy {
  return policy(name, { 'overload-refusals': false, ...switches });
}

export const POLICIES: readonly Policy[] = [
  policy('usual'),
  placement('without-refusals'),
  { ...placement('old-loads'), loadPause: OLD_LOAD_PAUSE },
  placement('without-shared-loads', { 'shared-loads': false }),
  placement('without-held-parts', { 'held-parts': false }),
  placement('without-last-target', { 'last-target': false }),
  placement('round-robin', { 'placement-policy': 'round-robin' }),
  placement('least-load', { 'placement-policy': 'least-load' }),
  placement('prefix-affinity', { 'placement-policy': 'prefix-affinity' }),
];

/** What came of a load under a policy. */
export interface Outcome extends Tally {
  readonly load: string;
  readonly policy: string;
  /** Prompt tokens that engines have read, for each program. */
  readonly tokensRead: number;
}

/** Plays a load under a policy; equal seeds give equal outcomes. */
export function play(
  load: WorstLoad,
  { name, switches, loadPause }: Policy,
  seed: number,
): Outcome {
  const calendar = new Calendar();
  const { facts } = load;
  const sizes = { engines: ENGINES, gateways: GATEWAYS };
  const fleet = new Fleet({ ...sizes, calendar, facts, switches, loadPause, seed });
  const workload = new Workload({ calendar, fleet, facts, kinds: CARRIER_KINDS, seed });
  workload.beginMany(load.length, (now) => USUAL_RATE * load.rate(now));
  for (const { at, act } of load.events ?? []) {
    calendar.after(at, () => {
      act(fleet, workload);
    });
  }
  calendar.runUntil(load.length + ENDING_MILLISECONDS);
  const read = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.tokensRead, 0);
  const tally = workload.tally();
  return { load: load.name, policy: name, ...tally, tokensRead: Math.round(read / tally.begun) };
}

/** Prints a table of all loads under all policies, means over the seeds. */
export function benchWorst(seeds: readonly number[]): void {
  process.stdout.write('| Load | Policy | In time | p50 | p99 | Tokens read a program |\n');
  process.stdout.write('| --- | --- | --- | --- | --- | --- |\n');
  for (const load of WORST_LOADS) {
    for (const one of POLICIES) {
      const outcomes = seeds.map((seed) => play(load, one, seed));
      process.stdout.write(`${formatOutcomes(outcomes)}\n`);
    }
  }
}

function formatOutcomes(outcomes: readonly Outcome[]): string {
  const mean = (read: (outcome: Outcome) => number) =>
    outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
  const [first] = outcomes;
  const cells = [
    first?.load,
    first?.policy,
    `${(mean(({ inTime, begun }) => inTime / begun) * 100).toFixed(1)}%`,
    mean(({ p50 }) => p50).toFixed(2),
    mean(({ p99 }) => p99).toFixed(2),
    Math.round(mean(({ tokensRead }) => tokensRead)),
  ];
  return `| ${cells.join(' | ')} |`;
}

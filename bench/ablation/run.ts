import { execFile } from 'node:child_process';
import {
  appendFileSync,
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  readdirSync,
} from 'node:fs';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import * as z from 'zod';
import { type SwitchSet, DEFAULT_SET, selectSets, formatSettings } from './sets';
import { type DayResult, formatRows, buildRows } from './table';

const execute = promisify(execFile);

/** Limit of the captured output of one run; bytes. */
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

/** Settings template of the processes that a run starts. */
const SETTINGS_TEMPLATE = 'deploy/settings.toml.template';

/** The fields of the player's report that are used; `G` is the score of the day. */
const reportSchema = z.object({
  G: z.number(),
  fault: z.string().nullish(),
  breaks: z.record(z.string(), z.unknown()),
});

export interface AblationOptions {
  /** Path of the program that runs a day; called in the checkout of the set. */
  readonly player: string;
  /** Path of the deployment whose days are run. */
  readonly site: string;
  /** Folder of the checkouts, one for each set; existing ones are reused. */
  readonly workspace: string;
  readonly days: readonly string[];
  readonly seeds: readonly string[];
  /** Names of sets; empty for all. */
  readonly sets: readonly string[];
  /** Whether the reduced variants of the days are run. */
  readonly small: boolean;
  /** Number of concurrent runs. */
  readonly jobs: number;
  /** Reason for the run, written to each journal entry. */
  readonly why: string;
}

/** One day to run with one set and seed. */
interface DayRun {
  readonly set: SwitchSet;
  readonly day: string;
  readonly seed: string;
}

/** Runs days with one decision mechanism disabled at a time and prints the score differences. */
export async function benchAblation(options: AblationOptions): Promise<void> {
  const sets = selectSets(options.sets);
  for (const set of sets) await prepareCheckout(options, set);
  const runs = options.seeds.flatMap((seed) =>
    options.days.flatMap((day) => sets.map((set) => ({ set, day, seed }))),
  );
  const results = await runAll(options, runs);
  for (const set of sets) copyJournalEntries(checkoutFolderOf(options, set));
  process.stdout.write(`${formatRows(buildRows(results, DEFAULT_SET.name))}\n`);
}

function checkoutFolderOf({ workspace }: AblationOptions, set: SwitchSet): string {
  return resolve(workspace, set.name);
}

/** Clones the committed state, installs and builds it with the switches of the set. */
async function prepareCheckout(options: AblationOptions, set: SwitchSet): Promise<void> {
  const folder = checkoutFolderOf(options, set);
  if (existsSync(folder)) return;
  mkdirSync(resolve(options.workspace), { recursive: true });
  await execute('git', ['clone', '--quiet', process.cwd(), folder]);
  await execute('npm', ['ci', '--no-audit', '--no-fund'], { cwd: folder });
  appendFileSync(join(folder, SETTINGS_TEMPLATE), formatSettings(set));
  await execute(resolve(options.player), ['build'], { cwd: folder });
}

async function runAll(
  options: AblationOptions,
  runs: readonly DayRun[],
): Promise<readonly DayResult[]> {
  const results: DayResult[] = [];
  const remaining = [...runs];
  const worker = async () => {
    for (let run = remaining.shift(); run !== undefined; run = remaining.shift()) {
      const result = await runDay(options, run);
      results.push(result);
      process.stderr.write(`${JSON.stringify(result)}\n`);
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, worker));
  return runs.flatMap(({ set, day, seed }) =>
    results.filter(
      (result) => result.set === set.name && result.day === day && result.seed === seed,
    ),
  );
}

async function runDay(options: AblationOptions, { set, day, seed }: DayRun): Promise<DayResult> {
  const cwd = checkoutFolderOf(options, set);
  const report = join(resolve(options.workspace), `${set.name}-${day}-${seed}.json`);
  const reason = `${options.why}: ${set.name}, ${day}, seed ${seed}`;
  const sizeOptions = options.small ? ['--small'] : [];
  const runArguments = ['run', resolve(options.site), day, '--seed', seed, ...sizeOptions];
  try {
    const reportOptions = ['--report', report, '--why', reason];
    await execute(resolve(options.player), [...runArguments, ...reportOptions], {
      cwd,
      maxBuffer: MAX_OUTPUT_BYTES,
    });
  } catch (error) {
    // The player also fails if a rule was violated; then its report exists and names the rule.
    if (!existsSync(report)) {
      return { set: set.name, day, seed, worth: undefined, failures: [String(error)] };
    }
  }
  const { G, fault, breaks } = reportSchema.parse(JSON.parse(readFileSync(report, 'utf8')));
  const failures = [...Object.keys(breaks), ...(fault == null ? [] : [fault])];
  return { set: set.name, day, seed, worth: G, failures };
}

/** Copies the journal entries of a checkout to the journal of this repository. */
function copyJournalEntries(folder: string): void {
  for (const name of readdirSync(join(folder, 'journal'))) {
    const destination = join('journal', name);
    if (!name.endsWith('.json') || existsSync(destination)) continue;
    copyFileSync(join(folder, 'journal', name), destination);
  }
}

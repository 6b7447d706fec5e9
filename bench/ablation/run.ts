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
import { type SwitchSet, USUAL, pickSets, settingsOf } from './sets';
import { type PlayedDay, formatRows, rowsOf } from './table';

const execute = promisify(execFile);

/** Output of one played day that is kept while it runs; bytes. */
const OUTPUT_BYTES = 64 * 1024 * 1024;

/** The template from which each process gets its settings. */
const TEMPLATE = 'deploy/settings.toml.template';

/** The part of a played day's report that the table rests on; `G` is its worth. */
const reportSchema = z.object({
  G: z.number(),
  fault: z.string().nullish(),
  breaks: z.record(z.string(), z.unknown()),
});

export interface AblationOptions {
  /** Program that plays a day; it runs in a checkout of its own for each set. */
  readonly player: string;
  readonly site: string;
  /** Folder that takes the checkouts; those that are there are used again. */
  readonly workspace: string;
  readonly days: readonly string[];
  readonly seeds: readonly string[];
  /** Names of sets; all if there are none. */
  readonly sets: readonly string[];
  readonly small: boolean;
  /** Days that are played at a time. */
  readonly jobs: number;
  /** Reason that goes into the journal with the name of the set. */
  readonly why: string;
}

/** One day that is to be played with one set. */
interface Play {
  readonly set: SwitchSet;
  readonly day: string;
  readonly seed: string;
}

/** Plays days with mechanisms switched off one by one, and prints what each is worth. */
export async function benchAblation(options: AblationOptions): Promise<void> {
  const sets = pickSets(options.sets);
  for (const set of sets) await prepareCheckout(options, set);
  const plays = options.seeds.flatMap((seed) =>
    options.days.flatMap((day) => sets.map((set) => ({ set, day, seed }))),
  );
  const days = await playAll(options, plays);
  for (const set of sets) bringJournal(checkoutOf(options, set));
  process.stdout.write(`${formatRows(rowsOf(days, USUAL.name))}\n`);
}

function checkoutOf({ workspace }: AblationOptions, set: SwitchSet): string {
  return resolve(workspace, set.name);
}

/** A clone of what is committed here, with the set in the template of the settings. */
async function prepareCheckout(options: AblationOptions, set: SwitchSet): Promise<void> {
  const folder = checkoutOf(options, set);
  if (existsSync(folder)) return;
  mkdirSync(resolve(options.workspace), { recursive: true });
  await execute('git', ['clone', '--quiet', process.cwd(), folder]);
  await execute('npm', ['ci', '--no-audit', '--no-fund'], { cwd: folder });
  appendFileSync(join(folder, TEMPLATE), settingsOf(set));
  await execute(resolve(options.player), ['build'], { cwd: folder });
}

async function playAll(
  options: AblationOptions,
  plays: readonly Play[],
): Promise<readonly PlayedDay[]> {
  const days: PlayedDay[] = [];
  const left = [...plays];
  const work = async () => {
    for (let play = left.shift(); play !== undefined; play = left.shift()) {
      const day = await playDay(options, play);
      days.push(day);
      process.stderr.write(`${JSON.stringify(day)}\n`);
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, work));
  return plays.flatMap(({ set, day, seed }) =>
    days.filter((one) => one.set === set.name && one.day === day && one.seed === seed),
  );
}

async function playDay(options: AblationOptions, { set, day, seed }: Play): Promise<PlayedDay> {
  const cwd = checkoutOf(options, set);
  const report = join(resolve(options.workspace), `${set.name}-${day}-${seed}.json`);
  const why = `${options.why}: ${set.name}, ${day}, seed ${seed}`;
  const size = options.small ? ['--small'] : [];
  const parameters = ['run', resolve(options.site), day, '--seed', seed, ...size];
  try {
    const ways = ['--report', report, '--why', why];
    await execute(resolve(options.player), [...parameters, ...ways], {
      cwd,
      maxBuffer: OUTPUT_BYTES,
    });
  } catch (error) {
    // A day with a broken rule ends with an error, too; its report tells which.
    if (!existsSync(report)) {
      return { set: set.name, day, seed, worth: undefined, failures: [String(error)] };
    }
  }
  const { G, fault, breaks } = reportSchema.parse(JSON.parse(readFileSync(report, 'utf8')));
  const failures = [...Object.keys(breaks), ...(fault == null ? [] : [fault])];
  return { set: set.name, day, seed, worth: G, failures };
}

/** Brings the entries that a checkout's days have left into the journal here. */
function bringJournal(folder: string): void {
  for (const name of readdirSync(join(folder, 'journal'))) {
    const here = join('journal', name);
    if (!name.endsWith('.json') || existsSync(here)) continue;
    copyFileSync(join(folder, 'journal', name), here);
  }
}

import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { countCauses, readLog } from '../src/explain';
import { type AblationOptions, benchAblation } from './ablation/run';
import { type ControlBenchOptions, benchControl } from './control';
import { benchDecide } from './decide';
import { benchFootprint } from './footprint';
import { benchLink } from './link';
import { benchLog } from './log';
import { benchNodes } from './nodes';
import { type PathOptions, benchPath } from './path';
import { benchWorst } from './worst/run';

const DEFAULT_CALLS = 1000;

/** The numbers given on the command line take the place of the default ones. */
function parseNumbers(text: string): readonly number[] {
  return text.split(',').map(Number);
}

/** The words given on the command line, separated by commas. */
function parseWords(text: string): readonly string[] {
  return text.split(',');
}

const program = new Command('bench').description('Measurements; each prints one JSON line.');
program
  .command('ablation')
  .description('days with mechanisms of the decisions switched off one by one, as a table')
  .requiredOption('--player <path>', 'program that plays a day')
  .requiredOption('--site <path>', 'deployment whose days are played')
  .requiredOption('--workspace <path>', 'folder for the checkouts, one for each set')
  .requiredOption('--days <names>', 'names of days', parseWords)
  .requiredOption('--why <text>', 'reason for the journal')
  .option('--seeds <numbers>', 'seeds of each day', parseWords, ['1', '2', '3'])
  .option('--sets <names>', 'only these sets, beside the usual one', parseWords, [])
  .option('--small', 'small twins of the days', false)
  .option('--jobs <number>', 'days at a time', Number, 2)
  .action(async (options: AblationOptions) => {
    await benchAblation(options);
  });
program
  .command('worst')
  .description('loads at their worst in simulated time, under several ways to decide, as a table')
  .option('--seeds <numbers>', 'seeds of each load', parseNumbers, [1, 2, 3])
  .action(({ seeds }: { readonly seeds: readonly number[] }) => {
    benchWorst(seeds);
  });
program
  .command('path')
  .description('latency through martenbay beside the stand-in alone')
  .option('--calls <number>', 'calls of each kind', Number, DEFAULT_CALLS)
  .option('--kind <text>', 'only kinds of call whose names contain it', '')
  .option('--at-once <numbers>', 'calls at a time', parseNumbers, [1, 64])
  .option('--groups <number>', 'groups of programs', Number, 4)
  .option('--entries <number>', 'entries, and engines', Number, 1)
  .action(async (options: PathOptions) => {
    await benchPath(options);
  });
program
  .command('footprint')
  .description('memory, processor share and bytes of each role, idle and under load')
  .option('--groups <number>', 'groups of programs', Number, 4)
  .action(async (options: { readonly groups: number }) => {
    await benchFootprint(options.groups);
  });
program
  .command('link')
  .description('cost of one tRPC call by each link')
  .option('--calls <number>', 'calls by each link', Number, DEFAULT_CALLS)
  .action(async (options: { readonly calls: number }) => {
    await benchLink(options.calls);
  });
program
  .command('nodes')
  .description('what a control host spends on connected processes')
  .option('--sizes <numbers>', 'numbers of processes', parseNumbers, [10, 100, 300, 1000])
  .action(async (options: { readonly sizes: readonly number[] }) => {
    await benchNodes(options.sizes);
  });
program
  .command('control')
  .description('appends, groups, a lost leader, configuration at many processes, restarts')
  .option('--calls <number>', 'appends of each kind', Number, DEFAULT_CALLS)
  .option('--kills <number>', 'leaders killed', Number, 20)
  .option('--nodes <numbers>', 'processes that get a configuration', parseNumbers, [10, 100, 1000])
  .option('--groups <numbers>', 'groups of programs', parseNumbers, [1, 4, 16])
  .option('--programs <numbers>', 'programs of 350,000 tokens', parseNumbers, [100, 300, 1000])
  .option('--part <text>', 'only parts whose names contain it', '')
  .action(async (options: ControlBenchOptions) => {
    await benchControl(options);
  });
program
  .command('decide')
  .description('time of one choice of a target, and memory of a target')
  .option('--sizes <numbers>', 'numbers of targets', parseNumbers, [10, 100, 1800])
  .action((options: { readonly sizes: readonly number[] }) => {
    benchDecide(options.sizes);
  });
program
  .command('log')
  .description('processor time of one line of a gateway; its lines go to standard output')
  .option('--lines <number>', 'lines written', Number, 20_000)
  .action(async (options: { readonly lines: number }) => {
    await benchLog(options.lines);
  });
program
  .command('causes <files...>')
  .description('why the programs in logs of gateways did not end in time, by share')
  .action((files: readonly string[]) => {
    const { lines, skipped } = readLog(files.map((file) => readFileSync(file, 'utf8')).join('\n'));
    process.stdout.write(`${JSON.stringify({ ...countCauses(lines), skipped })}\n`);
  });
void program.parseAsync();

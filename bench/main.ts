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

function parseNumbers(text: string): readonly number[] {
  return text.split(',').map(Number);
}

function parseNames(text: string): readonly string[] {
  return text.split(',');
}

const program = new Command('bench').description(
  'Benchmarks; results are printed as JSON lines or tables.',
);
program
  .command('ablation')
  .description('table of day scores with one decision mechanism disabled at a time')
  .requiredOption('--player <path>', 'program that runs a day')
  .requiredOption('--site <path>', 'deployment whose days are run')
  .requiredOption('--workspace <path>', 'folder of the checkouts, one per set')
  .requiredOption('--days <names>', 'names of days', parseNames)
  .requiredOption('--why <text>', 'reason that is written to the journal')
  .option('--seeds <numbers>', 'seeds of each day', parseNames, ['1', '2', '3'])
  .option('--sets <names>', 'only these sets, compared with the default one', parseNames, [])
  .option('--small', 'reduced variants of the days', false)
  .option('--jobs <number>', 'concurrent runs', Number, 2)
  .action(async (options: AblationOptions) => {
    await benchAblation(options);
  });
program
  .command('worst')
  .description('table of worst-case loads in simulated time under several decision policies')
  .option('--seeds <numbers>', 'seeds of each load', parseNumbers, [1, 2, 3])
  .action(({ seeds }: { readonly seeds: readonly number[] }) => {
    benchWorst(seeds);
  });
program
  .command('path')
  .description('latency through martenbay compared with direct calls of the stand-in')
  .option('--calls <number>', 'calls of each kind', Number, DEFAULT_CALLS)
  .option('--kind <text>', 'only kinds of call whose names contain this text', '')
  .option('--at-once <numbers>', 'concurrent calls', parseNumbers, [1, 64])
  .option('--groups <number>', 'program groups', Number, 4)
  .option('--entries <number>', 'number of entries, and of engines', Number, 1)
  .action(async (options: PathOptions) => {
    await benchPath(options);
  });
program
  .command('footprint')
  .description('memory, processor share and transferred bytes of each process, idle and under load')
  .option('--groups <number>', 'program groups', Number, 4)
  .action(async (options: { readonly groups: number }) => {
    await benchFootprint(options.groups);
  });
program
  .command('link')
  .description('processor time and latency of one tRPC call over each link')
  .option('--calls <number>', 'calls over each link', Number, DEFAULT_CALLS)
  .action(async (options: { readonly calls: number }) => {
    await benchLink(options.calls);
  });
program
  .command('nodes')
  .description('resource usage of a control host by number of connected processes')
  .option('--sizes <numbers>', 'numbers of processes', parseNumbers, [10, 100, 300, 1000])
  .action(async (options: { readonly sizes: readonly number[] }) => {
    await benchNodes(options.sizes);
  });
program
  .command('control')
  .description(
    'replicated control state: appends, groups, failover, configuration fan-out, restarts',
  )
  .option('--calls <number>', 'appends of each kind', Number, DEFAULT_CALLS)
  .option('--kills <number>', 'number of leaders to kill', Number, 20)
  .option(
    '--nodes <numbers>',
    'numbers of processes that receive a configuration',
    parseNumbers,
    [10, 100, 1000],
  )
  .option('--groups <numbers>', 'program groups', parseNumbers, [1, 4, 16])
  .option(
    '--programs <numbers>',
    'numbers of programs of 350,000 tokens',
    parseNumbers,
    [100, 300, 1000],
  )
  .option('--part <text>', 'only parts whose names contain this text', '')
  .action(async (options: ControlBenchOptions) => {
    await benchControl(options);
  });
program
  .command('decide')
  .description('time of one target selection and memory per target')
  .option('--sizes <numbers>', 'numbers of targets', parseNumbers, [10, 100, 1800])
  .action((options: { readonly sizes: readonly number[] }) => {
    benchDecide(options.sizes);
  });
program
  .command('log')
  .description('processor time of one gateway log line; the lines go to standard output')
  .option('--lines <number>', 'lines to write', Number, 20_000)
  .action(async (options: { readonly lines: number }) => {
    await benchLog(options.lines);
  });
program
  .command('causes <files...>')
  .description('causes of missed program deadlines in gateway logs, by share')
  .action((files: readonly string[]) => {
    const { lines, skipped } = readLog(files.map((file) => readFileSync(file, 'utf8')).join('\n'));
    process.stdout.write(`${JSON.stringify({ ...countCauses(lines), skipped })}\n`);
  });
void program.parseAsync();

import { Command } from 'commander';
import { benchFootprint } from './footprint';
import { benchPath } from './path';

const DEFAULT_CALLS = 1000;

const program = new Command('bench').description('Measurements; each prints one JSON line.');
program
  .command('path')
  .description('latency through martenbay beside the stand-in alone')
  .option('--calls <number>', 'calls of each kind', Number, DEFAULT_CALLS)
  .action(async (options: { readonly calls: number }) => {
    await benchPath(options.calls);
  });
program
  .command('footprint')
  .description('memory, processor share and bytes of each role, idle and under load')
  .action(async () => {
    await benchFootprint();
  });
void program.parseAsync();

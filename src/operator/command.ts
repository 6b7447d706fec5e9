import { Command, Option } from 'commander';
import { VERSION } from '../binary/version';
import { MartenbayError, messageOf } from '../core';
import { ControlUnavailableError } from '../protocol';
import { loadSettings } from '../settings';
import { digestKey } from '../teams';
import { type ApplyOptions, type CommandOptions, apply, diff, validate } from './apply';
import { OPERATOR_EXIT_CODES, type OperatorExitCode } from './exit-codes';
import { explain } from './explain';
import { operatorSettingsSchema } from './control-client';
import { SECTIONS, type Section, get, status } from './read';

const outputOption = () =>
  new Option('--output <format>', 'output format').choices(['table', 'json']).default('table');

const settingsOption = () =>
  new Option('--settings <file>', 'TOML file that names the control hosts and the credential')
    .env('MARTENBAY_SETTINGS')
    .makeOptionMandatory();

const EXIT_HELP = `
Exit codes: 0 done; 1 failed; 2 invalid command line or files; 3 refused, the number is taken or
too low; 4 no control host responded; 5 accepted, but not yet active in every process; 6 differences
found.`;

/** Builds the `martenbay` command; `finish` receives the exit code of the subcommand. */
function buildCommand(finish: (code: OperatorExitCode) => void): Command {
  const program = new Command('martenbay')
    .description('Applies directories of configuration files and shows the active configuration.')
    .version(VERSION)
    .addHelpText('after', EXIT_HELP)
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? OPERATOR_EXIT_CODES.done : OPERATOR_EXIT_CODES.invalid);
    });
  program
    .command('validate <directory>')
    .description('check the files of a directory without contacting a control host')
    .addOption(outputOption())
    .action((directory: string, options: Pick<CommandOptions, 'output'>) => {
      finish(validate(directory, options.output));
    });
  program
    .command('diff <directory>')
    .description('compare a directory with the active configuration')
    .addOption(settingsOption())
    .addOption(outputOption())
    .action(async (directory: string, options: CommandOptions) => {
      finish(await diff(directory, options));
    });
  program
    .command('apply <directory>')
    .description('activate a directory of files atomically')
    .addOption(settingsOption())
    .addOption(outputOption())
    .option('--wait', 'wait until it is active in every live process', false)
    .option('--timeout <seconds>', 'maximum time to wait', Number, 10)
    .action(async (directory: string, options: ApplyOptions) => {
      finish(await apply(directory, options));
    });
  program
    .command('get')
    .addArgument(new Command().createArgument('<section>').choices(SECTIONS))
    .description('show a section of the active configuration')
    .addOption(settingsOption())
    .addOption(outputOption())
    .action(async (section: Section, options: CommandOptions) => {
      finish(await get(section, options));
    });
  program
    .command('status')
    .description(
      'show processes, targets, programs and which processes lack the active configuration',
    )
    .addOption(settingsOption())
    .addOption(outputOption())
    .action(async (options: CommandOptions) => {
      finish(await status(options));
    });
  program
    .command('validate-settings')
    .description('check the settings of this command line')
    .addOption(settingsOption())
    .action((options: Pick<CommandOptions, 'settings'>) => {
      loadSettings(operatorSettingsSchema, options.settings);
      process.stdout.write(`${options.settings}: valid\n`);
      finish(OPERATOR_EXIT_CODES.done);
    });
  program
    .command('explain <id> <files...>')
    .description('show the log lines about one request or program, in causal order')
    .addOption(outputOption())
    .action((id: string, files: readonly string[], options: Pick<CommandOptions, 'output'>) => {
      finish(explain(id, files, options.output));
    });
  program
    .command('digest-key')
    .description("read a caller's key from standard input and print the digest for a team's file")
    .action(async () => {
      finish(await printKeyDigest());
    });
  return program;
}

async function printKeyDigest(): Promise<OperatorExitCode> {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin as AsyncIterable<Buffer>) chunks.push(chunk);
  const key = Buffer.concat(chunks).toString().trim();
  process.stdout.write(`${digestKey(key)}\n`);
  return OPERATOR_EXIT_CODES.done;
}

/** Runs the `martenbay` command and sets the exit code of the process. */
export async function runOperatorCommand(): Promise<void> {
  try {
    await buildCommand((code) => {
      process.exitCode = code;
    }).parseAsync();
  } catch (error) {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exitCode = exitCodeOf(error);
  }
}

function exitCodeOf(error: unknown): OperatorExitCode {
  if (error instanceof ControlUnavailableError) {
    return error.unauthorized ? OPERATOR_EXIT_CODES.refused : OPERATOR_EXIT_CODES.unavailable;
  }
  return error instanceof MartenbayError ? OPERATOR_EXIT_CODES.invalid : OPERATOR_EXIT_CODES.failed;
}

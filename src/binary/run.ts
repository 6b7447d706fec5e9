import { Command } from 'commander';
import type * as z from 'zod';
import {
  type Clock,
  LifeCycle,
  LogOutput,
  type Logger,
  MartenbayError,
  type RandomSource,
  type ProcessSignals,
  type StopSignal,
  SystemClock,
  SystemRandom,
  UncaughtErrors,
  createLogger,
  messageOf,
} from '../core';
import { type HostSettings, loadSettings } from '../settings';
import { VERSION } from './version';

export const EXIT_CODES = {
  /** Stopped by SIGTERM or SIGINT after all requests in flight had ended. */
  stopped: 0,
  /** Failed on start, while running or on stop; the last log line has the cause. */
  failed: 1,
  /** The settings or the command line are not valid. */
  invalid: 2,
} as const;

export interface ProcessContext<Settings> {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly onFailure: () => void;
}

export interface BinaryOptions<Schema extends z.ZodType> {
  readonly signals: ProcessSignals;
  readonly name: string;
  readonly role: string;
  readonly description: string;
  readonly schema: Schema;
  readonly create: (context: ProcessContext<z.output<Schema>>) => LifeCycle;
}

type RoleSchema = z.ZodType<{ readonly host: HostSettings }>;

/** Runs the command line of one role, with the subcommand `validate-settings`. */
export async function runBinary<Schema extends RoleSchema>(
  options: BinaryOptions<Schema>,
): Promise<void> {
  const program = new Command(options.name)
    .description(options.description)
    .version(VERSION)
    .option('--settings <file>', 'TOML file with the settings of this process')
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : EXIT_CODES.invalid);
    });
  const settingsFile = (): string => {
    const { settings } = program.opts<{ readonly settings?: string }>();
    if (settings !== undefined) return settings;
    return program.error('missing option --settings FILE.toml');
  };
  program.action(async () => {
    const settings = loadSettingsOrExit(options.schema, settingsFile());
    await runUntilStopped(options, settings);
  });
  program
    .command('validate-settings')
    .description('check the settings and exit')
    .action(() => {
      const file = settingsFile();
      loadSettingsOrExit(options.schema, file);
      process.stdout.write(`${file}: valid\n`);
    });
  await program.parseAsync();
}

function loadSettingsOrExit<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
): z.output<Schema> {
  try {
    return loadSettings(schema, file);
  } catch (error) {
    if (!(error instanceof MartenbayError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return process.exit(EXIT_CODES.invalid);
  }
}

async function runUntilStopped<Schema extends RoleSchema>(
  options: BinaryOptions<Schema>,
  settings: z.output<Schema>,
): Promise<void> {
  const { host } = settings;
  const clock = new SystemClock();
  const logOutput = new LogOutput({ clock });
  process.once('exit', () => {
    logOutput.writeNow();
  });
  const logger = createLogger({
    role: options.role,
    host: host.name,
    level: host['log-level'],
    stream: logOutput,
  });
  const lifeCycle = options.create({
    settings,
    clock,
    random: new SystemRandom(),
    logger,
    onFailure: () => process.exit(EXIT_CODES.failed),
  });
  const onExcess = (error: unknown) => {
    logger.fatal({ event: 'process-failed', error: messageOf(error) });
    process.exit(EXIT_CODES.failed);
  };
  const processLifeCycle = new LifeCycle();
  processLifeCycle.add('log', logOutput);
  processLifeCycle.add('uncaught-errors', new UncaughtErrors({ clock, logger, onExcess }));
  processLifeCycle.add(options.role, lifeCycle);
  const stop = (signal: StopSignal) => {
    logger.info({ event: 'stopping', signal });
    clock.after(host['stop-seconds'] * 1000, () => {
      const error = `the process has not stopped within ${host['stop-seconds']} seconds`;
      logger.fatal({ event: 'stop-failed', error });
      process.exit(EXIT_CODES.failed);
    });
    processLifeCycle.stop().then(
      () => {
        logger.info({ event: 'stopped' });
        process.exit(EXIT_CODES.stopped);
      },
      (error: unknown) => {
        logger.fatal({ event: 'stop-failed', error: messageOf(error) });
        process.exit(EXIT_CODES.failed);
      },
    );
  };
  options.signals.onReload(() => {
    logger.info({ event: 'settings-not-reloaded', reason: 'they are read at the start only' });
  });
  try {
    await processLifeCycle.start();
  } catch (error) {
    logger.fatal({ event: 'start-failed', error: messageOf(error) });
    process.exit(EXIT_CODES.failed);
  }
  logger.info({ event: 'started', version: VERSION });
  options.signals.onStop(stop);
}

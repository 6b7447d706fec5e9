import { Command } from 'commander';
import * as z from 'zod';
import {
  type Address,
  LogOutput,
  type ProcessSignals,
  SystemClock,
  SystemRandom,
  createLogger,
  createSilentLogger,
  messageOf,
} from '../core';
import { VERSION } from '../binary/version';
import { SettingsError, loadSettings } from '../settings';
import { LOCAL_KEY } from './configuration';
import { runSession } from './session';
import { type LocalSystem, startLocalSystem } from './system';

interface LocalOptions {
  readonly port?: number;
  readonly stopSeconds?: number;
  readonly dataFolder?: string;
  readonly keep?: boolean;
}

const DEFAULT_PORT = 8080;
const DEFAULT_STOP_SECONDS = 5;
const FAILED_EXIT_CODE = 1;
const INVALID_EXIT_CODE = 2;

/** Settings of `martenbay-local run`. */
const localSettingsSchema = z.strictObject({
  local: z
    .strictObject({
      /** Port of the entry. */
      port: z.int().positive().max(65_535).default(DEFAULT_PORT),
      /** Directory of the durable state; if absent, the state is lost on exit. */
      'data-folder': z.string().min(1).optional(),
      /** Time from the stop signal until the calls in flight are ended. */
      'stop-seconds': z.number().positive().default(DEFAULT_STOP_SECONDS),
    })
    .prefault({}),
});

function settingsFrom(file: string | undefined): LocalOptions {
  const settings =
    file === undefined ? localSettingsSchema.parse({}) : loadSettings(localSettingsSchema, file);
  const { port, 'data-folder': dataFolder, 'stop-seconds': stopSeconds } = settings.local;
  return { port, stopSeconds, ...(dataFolder === undefined ? {} : { dataFolder }) };
}

/** Runs the `martenbay-local` command. */
export async function runLocalCommand(signals: ProcessSignals): Promise<void> {
  // Until it serves, there is nothing to finish.
  signals.onStop(() => process.exit(0));
  const program = new Command('martenbay-local')
    .description(
      'Runs all roles and stand-ins for engines and services in one process, for local testing.',
    )
    .version(VERSION);
  program
    .command('demo')
    .description('run a program with several turns, show the routing decisions, and stop')
    .option('--keep', 'keep serving afterwards')
    .option('--port <number>', 'port for callers', Number)
    .action(async (options: LocalOptions) => {
      await demo(signals, options);
    });
  program
    .command('run', { isDefault: true })
    .description('serve until stopped')
    .option('--settings <file>', 'TOML file with a section [local]: port, data-folder')
    .action(async (options: { readonly settings?: string }) => {
      serveUntilStopped(signals, await startSystem(settingsFrom(options.settings)));
    });
  program
    .command('validate-settings')
    .description('check the settings and exit')
    .requiredOption('--settings <file>', 'TOML file')
    .action((options: { readonly settings: string }) => {
      settingsFrom(options.settings);
      process.stdout.write(`${options.settings}: valid\n`);
    });
  try {
    await program.parseAsync();
  } catch (error) {
    process.stderr.write(`${messageOf(error)}\n`);
    process.exitCode = error instanceof SettingsError ? INVALID_EXIT_CODE : FAILED_EXIT_CODE;
  }
}

async function demo(signals: ProcessSignals, options: LocalOptions): Promise<void> {
  const system = await startSystem(
    options.keep === true ? { port: DEFAULT_PORT, ...options } : options,
  );
  await runSession({
    entries: [system.entryUrl],
    key: LOCAL_KEY,
    write: (line) => process.stdout.write(`${line}\n`),
  });
  if (options.keep === true) {
    serveUntilStopped(signals, system);
    return;
  }
  await system.lifeCycle.stop();
  process.stdout.write('stopped cleanly\n');
}

/** Logs only the entry, whose lines contain the routing decisions. */
function startSystem(options: LocalOptions): Promise<LocalSystem> {
  const { port, dataFolder, stopSeconds = DEFAULT_STOP_SECONDS } = options;
  const entryAddress: Address | undefined =
    port === undefined ? undefined : { host: '127.0.0.1', port };
  const clock = new SystemClock();
  const stream = new LogOutput({ clock });
  process.once('exit', () => {
    stream.writeNow();
  });
  return startLocalSystem({
    clock,
    random: new SystemRandom(),
    loggerFor: (role, host) =>
      role === 'entry' ? createLogger({ role, host, stream }) : createSilentLogger(),
    stopSeconds,
    ...(entryAddress === undefined ? {} : { entryAddress }),
    ...(dataFolder === undefined ? {} : { dataFolder }),
  });
}

function serveUntilStopped(signals: ProcessSignals, system: LocalSystem): void {
  process.stdout.write(`${usage(system.entryUrl)}\n`);
  signals.onReload(() => {
    process.stdout.write('the settings are read at the start only\n');
  });
  signals.onStop(() => {
    system.lifeCycle.stop().then(
      () => {
        process.stdout.write('stopped cleanly\n');
        process.exit(0);
      },
      (error: unknown) => {
        process.stderr.write(`${messageOf(error)}\n`);
        process.exit(FAILED_EXIT_CODE);
      },
    );
  });
}

function usage(url: string): string {
  return `
Serving at ${url}; stop with Ctrl-C. Try:

curl -s ${url}/v1/chat/completions -H 'Authorization: Bearer ${LOCAL_KEY}' -H 'Content-Type: application/json' -d '{"model":"stand-in","messages":[{"role":"user","content":"Hello"}]}'

import OpenAI from 'openai';
const client = new OpenAI({ baseURL: '${url}/v1', apiKey: '${LOCAL_KEY}' });
const answer = await client.chat.completions.create({
  model: 'stand-in',
  messages: [{ role: 'user', content: 'Hello' }],
});
console.log(answer.choices[0].message.content);
`;
}

import { Command } from 'commander';
import type * as z from 'zod';
import { type Clock, type Component, SystemClock, messageOf } from '../src/core';
import { loadSettings } from '../src/settings';
import {
  EngineServer,
  HostList,
  PlainServer,
  WeightStore,
  engineSettingsSchema,
  hostsSettingsSchema,
  plainSettingsSchema,
  weightsSettingsSchema,
} from './index';

interface StandInKind {
  readonly name: string;
  readonly description: string;
  readonly create: (file: string, clock: Clock) => Component;
}

function defineKind<Schema extends z.ZodType>(
  name: string,
  description: string,
  schema: Schema,
  create: (settings: z.output<Schema>, clock: Clock) => Component,
): StandInKind {
  return { name, description, create: (file, clock) => create(loadSettings(schema, file), clock) };
}

const STAND_IN_KINDS: readonly StandInKind[] = [
  defineKind(
    'engine',
    'a language-model engine',
    engineSettingsSchema,
    (settings, clock) => new EngineServer(settings, clock),
  ),
  defineKind(
    'service',
    'a plain service that counts executions',
    plainSettingsSchema,
    (settings, clock) => new PlainServer(settings, clock),
  ),
  defineKind(
    'tool',
    'a tool service',
    plainSettingsSchema,
    (settings, clock) => new PlainServer(settings, clock),
  ),
  defineKind(
    'weights',
    'the rate-limited weight store',
    weightsSettingsSchema,
    (settings, clock) => new WeightStore(settings, clock),
  ),
  defineKind(
    'hosts',
    "the platform's lagging list of hosts",
    hostsSettingsSchema,
    (settings, clock) => new HostList(settings, clock),
  ),
];

const program = new Command('stand-ins').description(
  'Stand-ins for external systems, for demos and tests.',
);
for (const { name, description, create } of STAND_IN_KINDS) {
  program
    .command(name)
    .description(description)
    .requiredOption('--settings <file>', 'TOML file')
    .action(async (options: { readonly settings: string }) => {
      const component = create(options.settings, new SystemClock());
      await component.start?.();
      process.stdout.write(`${JSON.stringify({ event: 'started', kind: name })}\n`);
      process.once('SIGTERM', () => {
        void Promise.resolve(component.stop?.()).then(() => process.exit(0));
      });
    });
}
program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`${messageOf(error)}\n`);
  process.exitCode = 2;
});

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  EngineServer,
  PlainServer,
  engineSettingsSchema,
  plainSettingsSchema,
} from '../../stand-ins';
import { type SourceFile, digestFiles } from '../configuration';
import { createControlProcess } from '../control';
import {
  type Address,
  type Clock,
  type Component,
  LifeCycle,
  type Logger,
  type RandomSource,
  formatAddress,
} from '../core';
import { createEntryProcess } from '../entry';
import { ControlClient } from '../protocol';
import { controlSettingsSchema, entrySettingsSchema, sidecarSettingsSchema } from '../settings';
import { createSidecarProcess } from '../sidecar';
import { type LocalTarget, type LocalTargets, localFiles } from './configuration';
import { findFreeAddresses } from './free-address';

export interface LocalSystemOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Makes the logger of each role. */
  readonly loggerFor: (role: string, host: string) => Logger;
  /** Where callers reach the entry; any free port unless given. */
  readonly entryAddress?: Address;
  /** Folder of the durable state; a temporary one, removed at the stop, unless given. */
  readonly dataFolder?: string;
  /** Settings of the stand-in engines that differ from the default ones. */
  readonly engineSettings?: StandInSettings;
  /** Settings of the stand-in service that differ from the default ones. */
  readonly plainSettings?: StandInSettings;
  /** Operators' files besides those of the local system. */
  readonly extraFiles?: readonly SourceFile[];
}

/** Keys of a stand-in's settings. */
export type StandInSettings = Readonly<Record<string, number | boolean>>;

/** Settings of engines that take no time. */
export const INSTANT_ENGINE: StandInSettings = {
  'step-milliseconds': 0,
  'sequence-milliseconds': 0,
  'prefill-token-milliseconds': 0,
};

/** A system that runs: where callers reach it, and how it is stopped. */
export interface LocalSystem {
  readonly entryUrl: string;
  readonly lifeCycle: LifeCycle;
}

const HOST = '127.0.0.1';
const PROCESS_CREDENTIAL = 'local-process-credential';
const OPERATOR_CREDENTIAL = 'local-operator-credential';
const TARGETS = [
  { name: 'engine-a', availabilityZone: 'zone-a' },
  { name: 'engine-b', availabilityZone: 'zone-b' },
  { name: 'check-in-a', availabilityZone: 'zone-a' },
] as const;

/** Starts every role and the stand-ins in this process, with a configuration in force. */
export async function startLocalSystem(options: LocalSystemOptions): Promise<LocalSystem> {
  const addresses = await findFreeAddresses(
    Array.from({ length: 2 + TARGETS.length * 2 }, () => HOST),
  );
  const [control, freeEntry, ...rest] = addresses as readonly [Address, Address, ...Address[]];
  const entry = options.entryAddress ?? freeEntry;
  const targets = TARGETS.map((target, index): LocalTarget => {
    const [sidecar, address] = rest.slice(index * 2) as [Address, Address];
    return { ...target, sidecar, address };
  });
  const lifeCycle = new LifeCycle();
  const folder = options.dataFolder ?? (await addTemporaryFolder(lifeCycle));
  const cluster = {
    control: [{ name: 'control-1', address: formatAddress(control) }],
    'process-credential': PROCESS_CREDENTIAL,
  };
  const hostOf = (name: string, zone: string, address: Address) => ({
    name,
    'availability-zone': zone,
    address: formatAddress(address),
  });
  const partsFor = (role: string, name: string) => ({
    clock: options.clock,
    random: options.random,
    logger: options.loggerFor(role, name),
  });

  const [engineA, engineB, checkIn] = targets as [LocalTarget, LocalTarget, LocalTarget];
  const known: LocalTargets = { engines: [engineA, engineB], plain: [checkIn] };
  addStandIns(lifeCycle, known, options);
  lifeCycle.add(
    'control',
    createControlProcess({
      ...partsFor('control', 'control-1'),
      settings: controlSettingsSchema.parse({
        host: hostOf('control-1', 'zone-a', control),
        cluster,
        control: { 'data-folder': folder, 'operator-credential': OPERATOR_CREDENTIAL },
      }),
    }),
  );
  lifeCycle.add(
    'configuration',
    createApplier(options.clock, control, (number) => [
      ...localFiles(known, number),
      ...(options.extraFiles ?? []),
    ]),
  );
  for (const target of targets) {
    lifeCycle.add(
      target.name,
      createSidecarProcess({
        ...partsFor('sidecar', `sidecar-${target.name}`),
        settings: sidecarSettingsSchema.parse({
          host: hostOf(`sidecar-${target.name}`, target.availabilityZone, target.sidecar),
          cluster,
          sidecar: { target: target.name, 'target-address': formatAddress(target.address) },
        }),
      }),
    );
  }
  lifeCycle.add(
    'entry',
    createEntryProcess({
      ...partsFor('entry', 'entry-1'),
      settings: entrySettingsSchema.parse({ host: hostOf('entry-1', 'zone-a', entry), cluster }),
    }),
  );
  await lifeCycle.start();
  const entryUrl = `http://${formatAddress(entry)}`;
  await waitUntilReady(options.clock, control, targets.length);
  return { entryUrl, lifeCycle };
}

async function addTemporaryFolder(lifeCycle: LifeCycle): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'martenbay-local-'));
  lifeCycle.add('data-folder', { stop: () => rm(folder, { recursive: true, force: true }) });
  return folder;
}

function addStandIns(
  lifeCycle: LifeCycle,
  targets: LocalTargets,
  options: LocalSystemOptions,
): void {
  const { clock } = options;
  for (const { name, address } of targets.engines) {
    const settings = engineSettingsSchema.parse({
      address: formatAddress(address),
      ...options.engineSettings,
    });
    lifeCycle.add(`stand-in ${name}`, new EngineServer(settings, clock));
  }
  for (const { name, address } of targets.plain) {
    const settings = plainSettingsSchema.parse({
      address: formatAddress(address),
      name: 'check-in',
      ...options.plainSettings,
    });
    lifeCycle.add(`stand-in ${name}`, new PlainServer(settings, clock));
  }
}

function clientTo(clock: Clock, control: Address, credential: string): ControlClient {
  return new ControlClient({
    members: [{ name: 'control-1', address: control }],
    credential,
    clock,
  });
}

/** Applies the local files as an operator would, above what a kept data folder has in force. */
function createApplier(
  clock: Clock,
  control: Address,
  filesFor: (number: number) => readonly SourceFile[],
): Component {
  return {
    start: async () => {
      const client = clientTo(clock, control, OPERATOR_CREDENTIAL);
      const current = await client.call((connection, signal) =>
        connection.configuration.get.query(undefined, { signal }),
      );
      const number = (current.configuration?.number ?? 0) + 1;
      const files = filesFor(number);
      const input = { number, digest: digestFiles(files), files: [...files] };
      await client.call((connection, signal) =>
        connection.configuration.accept.mutate(input, { signal }),
      );
      client.stop();
    },
  };
}

/** Resolves once the leader has heard from every process and each has the configuration. */
async function waitUntilReady(clock: Clock, control: Address, targets: number): Promise<void> {
  const client = clientTo(clock, control, OPERATOR_CREDENTIAL);
  for (;;) {
    const status = await client.call((connection, signal) =>
      connection.status.query(undefined, { signal }),
    );
    if (status.nodes.length > targets && status.lagging.length === 0) break;
    await new Promise((resolve) => {
      clock.after(READY_POLL_MILLISECONDS, () => {
        resolve(undefined);
      });
    });
  }
  client.stop();
}

const READY_POLL_MILLISECONDS = 20;

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
import { type LocalTarget, type LocalTargets, localConfigurationFiles } from './configuration';
import { findFreeAddresses } from './free-address';

export interface LocalSystemOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly loggerFor: (role: string, host: string) => Logger;
  /** Address of the entry; by default a free port. */
  readonly entryAddress?: Address;
  /** Directory of the durable state; by default a temporary one that is removed on stop. */
  readonly dataFolder?: string;
  /** Time for ending the calls of each role on stop; by default that of the settings. */
  readonly stopSeconds?: number;
  /** Overrides of the default settings of the stand-in engines. */
  readonly engineSettings?: StandInSettings;
  /** Overrides of the default settings of the stand-in service. */
  readonly plainSettings?: StandInSettings;
  /** Configuration files in addition to those of the local system. */
  readonly extraFiles?: readonly SourceFile[];
}

/** Settings of a stand-in by key. */
export type StandInSettings = Readonly<Record<string, number | boolean>>;

/** Settings of engines that generate without delay. */
export const INSTANT_ENGINE: StandInSettings = {
  'step-milliseconds': 0,
  'sequence-milliseconds': 0,
  'prefill-token-milliseconds': 0,
};

export interface LocalSystem {
  readonly entryUrl: string;
  /** Already started; its `stop` ends every role. */
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

/** Starts every role and the stand-ins in this process and waits until all are configured. */
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
  const hostSettings = (name: string, zone: string, address: Address) => ({
    name,
    'availability-zone': zone,
    address: formatAddress(address),
    ...(options.stopSeconds === undefined ? {} : { 'stop-seconds': options.stopSeconds }),
  });
  const contextFor = (role: string, name: string) => ({
    clock: options.clock,
    random: options.random,
    logger: options.loggerFor(role, name),
  });

  const [engineA, engineB, checkIn] = targets as [LocalTarget, LocalTarget, LocalTarget];
  const localTargets: LocalTargets = { engines: [engineA, engineB], plain: [checkIn] };
  addStandIns(lifeCycle, localTargets, options);
  lifeCycle.add(
    'control',
    createControlProcess({
      ...contextFor('control', 'control-1'),
      settings: controlSettingsSchema.parse({
        host: hostSettings('control-1', 'zone-a', control),
        cluster,
        control: { 'data-folder': folder, 'operator-credential': OPERATOR_CREDENTIAL },
      }),
    }),
  );
  lifeCycle.add(
    'configuration',
    createConfigurationApplier(options.clock, control, (number) => [
      ...localConfigurationFiles(localTargets, number),
      ...(options.extraFiles ?? []),
    ]),
  );
  for (const target of targets) {
    lifeCycle.add(
      target.name,
      createSidecarProcess({
        ...contextFor('sidecar', `sidecar-${target.name}`),
        settings: sidecarSettingsSchema.parse({
          host: hostSettings(`sidecar-${target.name}`, target.availabilityZone, target.sidecar),
          cluster,
          sidecar: { target: target.name, 'target-address': formatAddress(target.address) },
        }),
      }),
    );
  }
  lifeCycle.add(
    'entry',
    createEntryProcess({
      ...contextFor('entry', 'entry-1'),
      settings: entrySettingsSchema.parse({
        host: hostSettings('entry-1', 'zone-a', entry),
        cluster,
        // No balancer sends requests.
        entry: { 'stop-accept-seconds': 0 },
      }),
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

function createControlClient(clock: Clock, control: Address, credential: string): ControlClient {
  return new ControlClient({
    members: [{ name: 'control-1', address: control }],
    credential,
    clock,
  });
}

/** On start applies the files, with a number above that of the configuration on disk. */
function createConfigurationApplier(
  clock: Clock,
  control: Address,
  filesFor: (number: number) => readonly SourceFile[],
): Component {
  return {
    start: async () => {
      const client = createControlClient(clock, control, OPERATOR_CREDENTIAL);
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

/** Resolves once every process is registered with the leader and has the configuration. */
async function waitUntilReady(clock: Clock, control: Address, targetCount: number): Promise<void> {
  const client = createControlClient(clock, control, OPERATOR_CREDENTIAL);
  for (;;) {
    const status = await client.call((connection, signal) =>
      connection.status.query(undefined, { signal }),
    );
    if (status.nodes.length > targetCount && status.lagging.length === 0) break;
    await new Promise((resolve) => {
      clock.after(READY_POLL_MILLISECONDS, () => {
        resolve(undefined);
      });
    });
  }
  client.stop();
}

const READY_POLL_MILLISECONDS = 20;

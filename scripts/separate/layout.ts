import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { type Address, formatAddress } from '../../src/core';
import { type LocalTarget, findFreeAddresses, localConfigurationFiles } from '../../src/local';

/** Number and settings of the processes of a system. */
export interface LayoutOptions {
  readonly folder: string;
  readonly controls?: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly plain?: number;
  /** Number of groups that store programs; defaults to that of the settings. */
  readonly programGroups?: number;
  /** Regions to which the control hosts are assigned in rotation; none by default. */
  readonly regions?: readonly string[];
  /** Address from which the control hosts read the platform's list of hosts. */
  readonly hostList?: string;
  /** Additional settings of the stand-in engines. */
  readonly engineSettings?: Readonly<Record<string, number | string | boolean>>;
  /** Additional settings of the stand-in services. */
  readonly plainSettings?: Readonly<Record<string, number | string | boolean>>;
  readonly controlSettings?: Readonly<Record<string, number>>;
  readonly sidecarSettings?: Readonly<Record<string, number>>;
  /** Additional settings of the hosts of all processes except the stand-ins. */
  readonly hostSettings?: Readonly<Record<string, number>>;
  readonly entrySettings?: Readonly<Record<string, number | string>>;
}

/** Command line of a process. */
export interface ProcessPlan {
  readonly name: string;
  readonly binary: string;
  readonly arguments: readonly string[];
}

/** Processes and addresses of a system whose settings files are written. */
export interface Layout {
  readonly standIns: readonly ProcessPlan[];
  readonly controls: readonly ProcessPlan[];
  readonly sidecars: readonly ProcessPlan[];
  readonly entries: readonly ProcessPlan[];
  readonly controlMembers: readonly { readonly name: string; readonly address: Address }[];
  readonly entryAddresses: readonly Address[];
  readonly targets: readonly LocalTarget[];
  readonly processCredential: string;
  /** Data folder of each control host, in the order of the members. */
  readonly dataFolders: readonly string[];
  /** Directory of the configuration files. */
  readonly configurationDirectory: string;
  /** Settings file of the operator command. */
  readonly operatorSettingsFile: string;
}

const PROCESS_CREDENTIAL = 'separate-process-credential';
export const OPERATOR_CREDENTIAL = 'separate-operator-credential';

/** Satisfies the type; every index is within the list of free addresses. */
const PLACEHOLDER_ADDRESS: Address = { host: '127.0.0.1', port: 1 };

const AVAILABILITY_ZONES = ['zone-a', 'zone-b'] as const;

interface TypedTarget extends LocalTarget {
  readonly type: 'engine' | 'plain';
}

interface ListenAddresses {
  readonly controlMembers: Layout['controlMembers'];
  readonly entryAddresses: readonly Address[];
  readonly targets: readonly TypedTarget[];
}

type SettingsContent = Readonly<Record<string, unknown>>;

/** Assigns free loopback addresses, and writes the settings and configuration files. */
export async function createLayout(options: LayoutOptions): Promise<Layout> {
  const configuration = join(options.folder, 'configuration');
  await mkdir(configuration, { recursive: true });
  const listenAddresses = await assignAddresses(options);
  const files = localConfigurationFiles({
    engines: listenAddresses.targets.filter((target) => target.type === 'engine'),
    plain: listenAddresses.targets.filter((target) => target.type === 'plain'),
  });
  for (const { name, text } of files) await writeFile(join(configuration, name), text);
  const writer = new SettingsWriter(options, listenAddresses);
  return {
    ...listenAddresses,
    dataFolders: listenAddresses.controlMembers.map(({ name }) => dataFolder(options, name)),
    processCredential: PROCESS_CREDENTIAL,
    configurationDirectory: configuration,
    operatorSettingsFile: await writer.operator(),
    standIns: await writer.standIns(),
    controls: await writer.controls(),
    sidecars: await writer.sidecars(),
    entries: await writer.entries(),
  };
}

async function assignAddresses(options: LayoutOptions): Promise<ListenAddresses> {
  const { controls = 3, entries = 2, engines = 2, plain = 1 } = options;
  const targetNames = [
    ...numberedNames('engine', engines).map((name) => ({ name, type: 'engine' as const })),
    ...numberedNames('check-in', plain).map((name) => ({ name, type: 'plain' as const })),
  ];
  const addresses = await findFreeAddresses([
    ...loopbackHosts(10, controls),
    ...loopbackHosts(20, entries),
    ...loopbackHosts(30, targetNames.length),
    ...loopbackHosts(30, targetNames.length),
  ]);
  const addressAt = (from: number, index: number) => addresses[from + index] ?? PLACEHOLDER_ADDRESS;
  const sidecarsFrom = controls + entries;
  return {
    controlMembers: numberedNames('control', controls).map((name, index) => ({
      name,
      address: addressAt(0, index),
    })),
    entryAddresses: addresses.slice(controls, sidecarsFrom),
    targets: targetNames.map((target, index) => ({
      ...target,
      availabilityZone: availabilityZoneOf(index),
      sidecar: addressAt(sidecarsFrom, index),
      address: addressAt(sidecarsFrom + targetNames.length, index),
    })),
  };
}

/** Writes the settings files of the processes. */
class SettingsWriter {
  readonly #options: LayoutOptions;
  readonly #listenAddresses: ListenAddresses;
  readonly #cluster: SettingsContent;

  constructor(options: LayoutOptions, listenAddresses: ListenAddresses) {
    const { programGroups } = options;
    this.#options = options;
    this.#listenAddresses = listenAddresses;
    this.#cluster = {
      control: this.#controlMemberSettings,
      'process-credential': PROCESS_CREDENTIAL,
      ...(programGroups === undefined ? {} : { 'program-groups': programGroups }),
    };
  }

  operator(): Promise<string> {
    const control = this.#listenAddresses.controlMembers.map(({ name, address }) => ({
      name,
      address: formatAddress(address),
    }));
    const operator = { control, credential: OPERATOR_CREDENTIAL };
    return this.#write('operator', { operator });
  }

  standIns(): Promise<readonly ProcessPlan[]> {
    const { engineSettings, plainSettings } = this.#options;
    const plans = this.#listenAddresses.targets.map(({ name, type, address }) => {
      const settings = type === 'engine' ? engineSettings : { name: 'check-in', ...plainSettings };
      const content = { address: formatAddress(address), ...settings };
      const command = type === 'engine' ? 'engine' : 'service';
      return this.#plan(`stand-in-${name}`, 'stand-ins', content, [command]);
    });
    return Promise.all(plans);
  }

  controls(): Promise<readonly ProcessPlan[]> {
    const { hostList } = this.#options;
    const plans = this.#listenAddresses.controlMembers.map(({ name, address }, index) =>
      this.#plan(name, 'martenbay-control', {
        host: this.#host(name, availabilityZoneOf(index), address),
        cluster: this.#cluster,
        control: {
          'data-folder': dataFolder(this.#options, name),
          'operator-credential': OPERATOR_CREDENTIAL,
          ...this.#options.controlSettings,
        },
        ...(hostList === undefined ? {} : { platform: { 'host-list': hostList } }),
      }),
    );
    return Promise.all(plans);
  }

  sidecars(): Promise<readonly ProcessPlan[]> {
    const plans = this.#listenAddresses.targets.map(
      ({ name, availabilityZone, sidecar, address }) =>
        this.#plan(`sidecar-${name}`, 'martenbay-sidecar', {
          host: this.#host(`sidecar-${name}`, availabilityZone, sidecar),
          cluster: this.#cluster,
          sidecar: {
            target: name,
            'target-address': formatAddress(address),
            ...this.#options.sidecarSettings,
          },
        }),
    );
    return Promise.all(plans);
  }

  entries(): Promise<readonly ProcessPlan[]> {
    const plans = this.#listenAddresses.entryAddresses.map((address, index) =>
      this.#plan(`entry-${index + 1}`, 'martenbay-entry', {
        host: this.#host(`entry-${index + 1}`, availabilityZoneOf(index), address),
        cluster: this.#cluster,
        // No balancer sends requests.
        entry: { 'stop-accept-seconds': 0, ...this.#options.entrySettings },
      }),
    );
    return Promise.all(plans);
  }

  #host(name: string, zone: string, address: Address): SettingsContent {
    const { hostSettings } = this.#options;
    return { name, 'availability-zone': zone, address: formatAddress(address), ...hostSettings };
  }

  get #controlMemberSettings(): readonly SettingsContent[] {
    const { regions = [] } = this.#options;
    return this.#listenAddresses.controlMembers.map(({ name, address }, index) => ({
      name,
      address: formatAddress(address),
      ...(regions.length === 0 ? {} : { region: regions[index % regions.length] }),
    }));
  }

  async #plan(
    name: string,
    binary: string,
    content: SettingsContent,
    command: readonly string[] = [],
  ): Promise<ProcessPlan> {
    const file = await this.#write(name, content);
    return { name, binary, arguments: [...command, '--settings', file] };
  }

  async #write(name: string, content: SettingsContent): Promise<string> {
    const file = join(this.#options.folder, `${name}.toml`);
    await writeFile(file, stringify(content));
    return file;
  }
}

function dataFolder({ folder }: LayoutOptions, name: string): string {
  return join(folder, `data-${name}`);
}

function availabilityZoneOf(index: number): string {
  return AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length] ?? 'zone-a';
}

function loopbackHosts(first: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `127.0.0.${first + index}`);
}

function numberedNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

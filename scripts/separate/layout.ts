import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { type Address, formatAddress } from '../../src/core';
import { type LocalTarget, findFreeAddresses, localConfigurationFiles } from '../../src/local';

/** What a system of separate processes is made of. */
export interface LayoutOptions {
  readonly folder: string;
  readonly controls?: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly plain?: number;
  /** Groups that programs are spread over; the settings' default unless given. */
  readonly programGroups?: number;
  /** Regions of the control hosts, in turn; all in one unless given. */
  readonly regions?: readonly string[];
  /** Where the control hosts read the platform's list of hosts. */
  readonly hostList?: string;
  /** Further keys of the stand-in engines' settings. */
  readonly engineSettings?: Readonly<Record<string, number | string | boolean>>;
  /** Further keys of the stand-in services' settings. */
  readonly plainSettings?: Readonly<Record<string, number | string | boolean>>;
  readonly controlSettings?: Readonly<Record<string, number>>;
  readonly sidecarSettings?: Readonly<Record<string, number>>;
  readonly entrySettings?: Readonly<Record<string, number | string>>;
}

/** A process and the files that it is started with. */
export interface ProcessPlan {
  readonly name: string;
  readonly binary: string;
  readonly arguments: readonly string[];
}

/** A system laid out: its settings are written, and nothing runs yet. */
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
  /** Directory of the operators' files. */
  readonly configuration: string;
  /** Settings of the operators' command line. */
  readonly operatorSettings: string;
}

const PROCESS_CREDENTIAL = 'separate-process-credential';
export const OPERATOR_CREDENTIAL = 'separate-operator-credential';

/** Stands for an address that the search for free ones always gives. */
const UNUSED: Address = { host: '127.0.0.1', port: 1 };

const ZONES = ['zone-a', 'zone-b'] as const;

interface PlacedTarget extends LocalTarget {
  readonly type: 'engine' | 'plain';
}

/** Where everything listens. */
interface Places {
  readonly controlMembers: Layout['controlMembers'];
  readonly entryAddresses: readonly Address[];
  readonly targets: readonly PlacedTarget[];
}

type Content = Readonly<Record<string, unknown>>;

/** Chooses free addresses, each kind of process on a loopback address of its own. */
export async function layOut(options: LayoutOptions): Promise<Layout> {
  const configuration = join(options.folder, 'configuration');
  await mkdir(configuration, { recursive: true });
  const places = await choosePlaces(options);
  const files = localConfigurationFiles({
    engines: places.targets.filter((target) => target.type === 'engine'),
    plain: places.targets.filter((target) => target.type === 'plain'),
  });
  for (const { name, text } of files) await writeFile(join(configuration, name), text);
  const writer = new SettingsWriter(options, places);
  return {
    ...places,
    dataFolders: places.controlMembers.map(({ name }) => dataFolder(options, name)),
    processCredential: PROCESS_CREDENTIAL,
    configuration,
    operatorSettings: await writer.operator(),
    standIns: await writer.standIns(),
    controls: await writer.controls(),
    sidecars: await writer.sidecars(),
    entries: await writer.entries(),
  };
}

async function choosePlaces(options: LayoutOptions): Promise<Places> {
  const { controls = 3, entries = 2, engines = 2, plain = 1 } = options;
  const targetNames = [
    ...numbered('engine', engines).map((name) => ({ name, type: 'engine' as const })),
    ...numbered('check-in', plain).map((name) => ({ name, type: 'plain' as const })),
  ];
  const addresses = await findFreeAddresses([
    ...loopbackHosts(10, controls),
    ...loopbackHosts(20, entries),
    ...loopbackHosts(30, targetNames.length),
    ...loopbackHosts(30, targetNames.length),
  ]);
  const take = (from: number, index: number) => addresses[from + index] ?? UNUSED;
  const sidecarsFrom = controls + entries;
  return {
    controlMembers: numbered('control', controls).map((name, index) => ({
      name,
      address: take(0, index),
    })),
    entryAddresses: addresses.slice(controls, sidecarsFrom),
    targets: targetNames.map((target, index) => ({
      ...target,
      availabilityZone: zoneOf(index),
      sidecar: take(sidecarsFrom, index),
      address: take(sidecarsFrom + targetNames.length, index),
    })),
  };
}

/** Writes the settings files and plans the processes that read them. */
class SettingsWriter {
  readonly #options: LayoutOptions;
  readonly #places: Places;
  readonly #cluster: Content;

  constructor(options: LayoutOptions, places: Places) {
    const { programGroups } = options;
    this.#options = options;
    this.#places = places;
    this.#cluster = {
      control: this.#controlList,
      'process-credential': PROCESS_CREDENTIAL,
      ...(programGroups === undefined ? {} : { 'program-groups': programGroups }),
    };
  }

  operator(): Promise<string> {
    const control = this.#places.controlMembers.map(({ name, address }) => ({
      name,
      address: formatAddress(address),
    }));
    const operator = { control, credential: OPERATOR_CREDENTIAL };
    return this.#write('operator', { operator });
  }

  standIns(): Promise<readonly ProcessPlan[]> {
    const { engineSettings, plainSettings } = this.#options;
    const plans = this.#places.targets.map(({ name, type, address }) => {
      const own = type === 'engine' ? engineSettings : { name: 'check-in', ...plainSettings };
      const content = { address: formatAddress(address), ...own };
      const command = type === 'engine' ? 'engine' : 'service';
      return this.#plan(`stand-in-${name}`, 'stand-ins', content, [command]);
    });
    return Promise.all(plans);
  }

  controls(): Promise<readonly ProcessPlan[]> {
    const { hostList } = this.#options;
    const plans = this.#places.controlMembers.map(({ name, address }, index) =>
      this.#plan(name, 'martenbay-control', {
        host: describeHost(name, zoneOf(index), address),
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
    const plans = this.#places.targets.map(({ name, availabilityZone, sidecar, address }) =>
      this.#plan(`sidecar-${name}`, 'martenbay-sidecar', {
        host: describeHost(`sidecar-${name}`, availabilityZone, sidecar),
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
    const plans = this.#places.entryAddresses.map((address, index) =>
      this.#plan(`entry-${index + 1}`, 'martenbay-entry', {
        host: describeHost(`entry-${index + 1}`, zoneOf(index), address),
        cluster: this.#cluster,
        entry: this.#options.entrySettings ?? {},
      }),
    );
    return Promise.all(plans);
  }

  get #controlList(): readonly Content[] {
    const { regions = [] } = this.#options;
    return this.#places.controlMembers.map(({ name, address }, index) => ({
      name,
      address: formatAddress(address),
      ...(regions.length === 0 ? {} : { region: regions[index % regions.length] }),
    }));
  }

  async #plan(
    name: string,
    binary: string,
    content: Content,
    command: readonly string[] = [],
  ): Promise<ProcessPlan> {
    const file = await this.#write(name, content);
    return { name, binary, arguments: [...command, '--settings', file] };
  }

  async #write(name: string, content: Content): Promise<string> {
    const file = join(this.#options.folder, `${name}.toml`);
    await writeFile(file, stringify(content));
    return file;
  }
}

function dataFolder({ folder }: LayoutOptions, name: string): string {
  return join(folder, `data-${name}`);
}

function describeHost(name: string, zone: string, address: Address): Content {
  return { name, 'availability-zone': zone, address: formatAddress(address) };
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? 'zone-a';
}

function loopbackHosts(first: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `127.0.0.${first + index}`);
}

function numbered(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { type Address, formatAddress } from '../../src/core';
import { type LocalTarget, findFreeAddresses, localFiles } from '../../src/local';

/** What a system of separate processes is made of. */
export interface LayoutOptions {
  readonly folder: string;
  readonly controls?: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly plain?: number;
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

/** Chooses free addresses, each kind of process on a loopback address of its own. */
export async function layOut(options: LayoutOptions): Promise<Layout> {
  const { folder, controls = 3, entries = 2, engines = 2, plain = 1 } = options;
  const configuration = join(folder, 'configuration');
  await mkdir(configuration, { recursive: true });
  const targetNames = [
    ...numbered('engine', engines).map((name) => ({ name, type: 'engine' as const })),
    ...numbered('check-in', plain).map((name) => ({ name, type: 'plain' as const })),
  ];
  const hosts = [
    ...numbered('', controls).map((_, index) => `127.0.0.${10 + index}`),
    ...numbered('', entries).map((_, index) => `127.0.0.${20 + index}`),
    ...targetNames.flatMap((_, index) => [`127.0.0.${30 + index}`, `127.0.0.${30 + index}`]),
  ];
  const addresses = await findFreeAddresses(hosts);
  const controlMembers = numbered('control', controls).map((name, index) => ({
    name,
    address: addresses[index] ?? UNUSED,
  }));
  const entryAddresses = addresses.slice(controls, controls + entries);
  const targets = targetNames.map((target, index) => {
    const [sidecar, address] = addresses.slice(controls + entries + index * 2) as [
      Address,
      Address,
    ];
    const availabilityZone = ZONES[index % ZONES.length] ?? 'zone-a';
    return { ...target, availabilityZone, sidecar, address };
  });
  for (const file of localFiles({
    engines: targets.filter((target) => target.type === 'engine'),
    plain: targets.filter((target) => target.type === 'plain'),
  })) {
    await writeFile(join(configuration, file.name), file.text);
  }

  const cluster = {
    control: controlMembers.map(({ name, address }) => ({ name, address: formatAddress(address) })),
    'process-credential': PROCESS_CREDENTIAL,
  };
  const write = async (name: string, content: Readonly<Record<string, unknown>>) => {
    const file = join(folder, `${name}.toml`);
    await writeFile(file, stringify(content));
    return file;
  };
  const plan = async (
    name: string,
    binary: string,
    content: Readonly<Record<string, unknown>>,
    command: readonly string[] = [],
  ): Promise<ProcessPlan> => ({
    name,
    binary,
    arguments: [...command, '--settings', await write(name, content)],
  });
  const host = (name: string, zone: string, address: Address) => ({
    name,
    'availability-zone': zone,
    address: formatAddress(address),
  });
  const zoneOf = (index: number) => ZONES[index % ZONES.length] ?? 'zone-a';

  return {
    controlMembers,
    entryAddresses,
    targets,
    processCredential: PROCESS_CREDENTIAL,
    configuration,
    operatorSettings: await write('operator', {
      operator: { control: cluster.control, credential: OPERATOR_CREDENTIAL },
    }),
    standIns: await Promise.all(
      targets.map(({ name, type, address }) =>
        plan(
          `stand-in-${name}`,
          'stand-ins',
          {
            address: formatAddress(address),
            ...(type === 'engine'
              ? options.engineSettings
              : { name: 'check-in', ...options.plainSettings }),
          },
          [type === 'engine' ? 'engine' : 'service'],
        ),
      ),
    ),
    controls: await Promise.all(
      controlMembers.map(({ name, address }, index) =>
        plan(name, 'martenbay-control', {
          host: host(name, zoneOf(index), address),
          cluster,
          control: {
            'data-folder': join(folder, `data-${name}`),
            'operator-credential': OPERATOR_CREDENTIAL,
            ...options.controlSettings,
          },
        }),
      ),
    ),
    sidecars: await Promise.all(
      targets.map(({ name, availabilityZone, sidecar, address }) =>
        plan(`sidecar-${name}`, 'martenbay-sidecar', {
          host: host(`sidecar-${name}`, availabilityZone, sidecar),
          cluster,
          sidecar: {
            target: name,
            'target-address': formatAddress(address),
            ...options.sidecarSettings,
          },
        }),
      ),
    ),
    entries: await Promise.all(
      entryAddresses.map((address, index) =>
        plan(`entry-${index + 1}`, 'martenbay-entry', {
          host: host(`entry-${index + 1}`, zoneOf(index), address),
          cluster,
          entry: options.entrySettings ?? {},
        }),
      ),
    ),
  };
}

function numbered(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

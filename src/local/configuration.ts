import type { SourceFile } from '../configuration';
import { type Address, formatAddress } from '../core';
import { digestKey } from '../teams';

/** Caller's key of the only team of the local system; not secret. */
export const LOCAL_KEY = 'local-trial-key';

export interface LocalTarget {
  readonly name: string;
  readonly availabilityZone: string;
  /** Address of its sidecar. */
  readonly sidecar: Address;
  /** Address of the target itself. */
  readonly address: Address;
}

export interface LocalTargets {
  readonly engines: readonly LocalTarget[];
  readonly plain: readonly LocalTarget[];
}

/** Configuration files with one team, one engine service and one plain service. */
export function localConfigurationFiles(targets: LocalTargets, number = 1): readonly SourceFile[] {
  return [
    { name: 'places.toml', text: `number = ${number}\n${AVAILABILITY_ZONES}` },
    { name: 'programs.toml', text: PROGRAMS },
    { name: 'services.toml', text: SERVICES },
    { name: 'pools.toml', text: formatPools(targets) },
  ];
}

const AVAILABILITY_ZONES = `
[[availability-zone]]
name = "zone-a"
region = "local"

[[availability-zone]]
name = "zone-b"
region = "local"

[[distance]]
between = ["zone-a", "zone-b"]
one-way-milliseconds = 0.5
`;

const PROGRAMS = `[[team]]
name = "counter"
key-digests = ["${digestKey(LOCAL_KEY)}"]
default-program = "rebooking"

[[budget]]
name = "trial"
tokens = 2000000
calls = 100000

[[program]]
name = "rebooking"
teams = ["counter"]
services = ["assistant", "check-in"]
budget = "trial"
idle-seconds = 600
`;

const SERVICES = `[[service]]
name = "assistant"
type = "engine"
model = "stand-in"
pool = "engines"
output-tokens = 64

[[service]]
name = "check-in"
type = "plain"
pool = "check-in"
not-repeatable = [{ method = "POST", path = "/bag-fees" }]
`;

function formatPools(targets: LocalTargets): string {
  return `[[pool]]
name = "engines"
checks-fencing = true
targets = [${targets.engines.map(formatTarget).join('')}
]

[[pool]]
name = "check-in"
checks-fencing = false
targets = [${targets.plain.map(formatTarget).join('')}
]
`;
}

function formatTarget(target: LocalTarget): string {
  const { name, availabilityZone, sidecar } = target;
  return `
  { name = "${name}", availability-zone = "${availabilityZone}", address = "${formatAddress(sidecar)}" },`;
}

import type { SourceFile } from '../configuration';
import { type Address, formatAddress } from '../core';
import { digestKey } from '../teams';

/** Caller's key of the local system's one team; for trials only. */
export const LOCAL_KEY = 'local-trial-key';

/** A target of the local system: the addresses of its sidecar and of itself. */
export interface LocalTarget {
  readonly name: string;
  readonly availabilityZone: string;
  readonly sidecar: Address;
  readonly address: Address;
}

export interface LocalTargets {
  readonly engines: readonly LocalTarget[];
  readonly plain: readonly LocalTarget[];
}

/** The operators' files of a small system: one team, one model, one plain service. */
export function localFiles(targets: LocalTargets, number = 1): readonly SourceFile[] {
  return [
    { name: 'places.toml', text: `number = ${number}\n${PLACES}` },
    { name: 'programs.toml', text: PROGRAMS },
    { name: 'services.toml', text: SERVICES },
    { name: 'pools.toml', text: pools(targets) },
  ];
}

const PLACES = `
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

function pools(targets: LocalTargets): string {
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

import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import { type ClusterContract, NodeDirectory, type NodeInfo } from '..';
import { ConfigurationRelay } from '../configuration-relay';

const ZONES = ['a', 'b', 'c'];

function node(name: string, zone: string, keepsClusterState: boolean): NodeInfo {
  return {
    ...{ name, address: `${name}:7000`, availabilityZone: zone, run: name, dataLife: '' },
    ...{ kind: 'gateway', keepsClusterState },
  };
}

const REPLICAS = ZONES.flatMap((zone) =>
  [1, 2].map((index) => node(`r-${zone}-${index}`, zone, true)),
);

const GATEWAYS = ZONES.flatMap((zone) =>
  Array.from({ length: 20 }, (_, index) => node(`g-${zone}-${index}`, zone, false)),
);

interface SentConfiguration {
  readonly from: string;
  readonly to: string;
}

interface RelayScenario {
  /** The hosts that relay version 2. */
  readonly relays: readonly NodeInfo[];
  readonly running?: readonly NodeInfo[];
  readonly members?: readonly string[];
  readonly versionOf?: (name: string) => number;
}

/** Sends version 2 from each relay; the first replica leads. */
function relay({
  relays,
  running = [...REPLICAS, ...GATEWAYS],
  members = REPLICAS.map(({ name }) => name),
  versionOf = () => 1,
}: RelayScenario): readonly SentConfiguration[] {
  const sent: SentConfiguration[] = [];
  for (const self of relays) {
    const directory = new NodeDirectory(new ManualClock());
    for (const other of running) {
      const configurationVersion = versionOf(other.name);
      directory.recordHeartbeat(other, { configurationVersion, viewEpoch: 1, completeFor: 0 });
    }
    const cast = (address: string) => {
      sent.push({ from: self.name, to: address.replace(':7000', '') });
    };
    new ConfigurationRelay({
      ...{ self, directory, peers: { cast } as unknown as RpcClient<ClusterContract> },
      ...{ isLeader: () => self === REPLICAS[0], memberHosts: () => members },
    }).send({ version: 2, text: '' });
  }
  return sent;
}

// Guards against a leader that sends a large configuration to every process itself.
describe('ConfigurationRelay', () => {
  it('reaches each gateway once, from its own availability zone', () => {
    const sent = relay({ relays: REPLICAS });
    expect(sent.map(({ to }) => to).sort()).toEqual(GATEWAYS.map(({ name }) => name).sort());
    for (const { from, to } of sent) expect(from.split('-')[1]).toBe(to.split('-')[1]);
  });

  it('divides the gateways of a zone between its replicas', () => {
    const counts = REPLICAS.map(
      ({ name }) => relay({ relays: REPLICAS }).filter(({ from }) => from === name).length,
    );
    expect(Math.max(...counts)).toBe(10);
  });

  it('reaches the gateways of a zone without a replica from the others', () => {
    const running = [...REPLICAS, ...GATEWAYS].filter(({ name }) => !name.startsWith('r-c'));
    const relays = REPLICAS.filter((replica) => running.includes(replica));
    const sent = relay({ relays, running });
    expect(sent.map(({ to }) => to).sort()).toEqual(GATEWAYS.map(({ name }) => name).sort());
  });

  it('leaves out gateways that have the version', () => {
    expect(relay({ relays: REPLICAS, versionOf: () => 2 })).toEqual([]);
  });

  it('reaches hosts with a replica that do not receive the log, from the leader', () => {
    const members = REPLICAS.slice(0, 5).map(({ name }) => name);
    const sent = relay({ relays: REPLICAS, running: REPLICAS, members });
    expect(sent).toEqual([{ from: 'r-a-1', to: 'r-c-2' }]);
  });
});

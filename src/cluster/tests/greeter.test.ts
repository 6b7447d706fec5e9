import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { Caller } from '../../link';
import {
  type ClusterContract,
  Greeter,
  Newest,
  NodeDirectory,
  type NodeInfo,
  type StoreView,
  type VersionedConfiguration,
} from '..';

const KEEPERS = 6;
const SECOND = 1000;

function keeper(index: number): NodeInfo {
  return {
    name: `keeper-${index}`,
    kind: 'gateway',
    address: `10.0.0.${index}:7000`,
    availabilityZone: 'a',
    keepsClusterState: true,
    run: String(index),
    dataLife: '',
  };
}

/** Greets six keepers that all know who leads; returns who was greeted in each second. */
async function greetFor(seconds: number, leads: boolean) {
  const clock = new ManualClock();
  const configuration = new Newest<VersionedConfiguration>(({ version }) => version);
  const view = new Newest<StoreView>(({ epoch }) => epoch);
  configuration.offer({ version: 1, text: '' });
  view.offer({ epoch: 1, members: [], quorum: 0 });
  const keepers = Array.from({ length: KEEPERS }, (_, index) => keeper(index));
  const [first] = keepers;
  const leader = leads ? { name: 'keeper-0', address: first?.address ?? '', term: 1 } : undefined;
  let greeted: string[] = [];
  const peers = {
    call: (address: string) => {
      greeted.push(address);
      const node = keepers.find((one) => one.address === address);
      return Promise.resolve({
        node,
        nodes: keepers,
        leader,
        configurationVersion: 1,
        viewEpoch: 1,
      });
    },
    cast: () => undefined,
    isConnected: () => true,
  } as unknown as Caller<ClusterContract>;
  const greeter = new Greeter({
    self: { ...keeper(9), keepsClusterState: false },
    status: () => ({ configurationVersion: 1, viewEpoch: 1, completeFor: 0 }),
    seeds: () => keepers.slice(0, 3).map(({ address }) => address),
    directory: new NodeDirectory(clock),
    peers,
    clock,
    logger: createSilentLogger(),
    configuration,
    view,
  });
  greeter.start();
  const bySecond: string[][] = [];
  for (let second = 0; second < seconds; second += 1) {
    greeted = [];
    for (let step = 0; step < 40; step += 1) {
      clock.advance(SECOND / 40);
      await new Promise((resolve) => setImmediate(resolve));
    }
    bySecond.push(greeted);
  }
  greeter.stop();
  return bySecond;
}

describe('a process that greets the keepers of the cluster state', () => {
  it('greets the leader each time, and each other one every second', async () => {
    const [, ...later] = await greetFor(5, true);
    for (const greeted of later) {
      const others = new Set(greeted.filter((address) => address !== '10.0.0.0:7000'));
      const toLeader = greeted.filter((address) => address === '10.0.0.0:7000').length;
      expect(toLeader).toBeGreaterThanOrEqual(3);
      expect(others.size).toBe(KEEPERS - 1);
      expect(greeted.length).toBeLessThanOrEqual(12);
    }
  });

  it('greets all of them, in turn and more often, while nobody is known to lead', async () => {
    const [, ...later] = await greetFor(3, false);
    for (const greeted of later) {
      expect(new Set(greeted).size).toBe(KEEPERS);
      expect(greeted.length).toBeGreaterThan(16);
      expect(greeted.length).toBeLessThan(30);
    }
  });
});

import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import {
  type ClusterContract,
  HeartbeatSender,
  LatestValue,
  NodeDirectory,
  type NodeInfo,
  type StoreView,
  type VersionedConfiguration,
} from '..';

const REPLICA_COUNT = 6;
const SECOND_MILLISECONDS = 1000;

function replica(index: number): NodeInfo {
  return {
    name: `replica-${index}`,
    kind: 'gateway',
    address: `10.0.0.${index}:7000`,
    availabilityZone: 'a',
    keepsClusterState: true,
    run: String(index),
    dataLife: '',
  };
}

/**
 * Sends heartbeats to six replicas, which report a leader if `hasLeader`; returns the recipients by
 * second.
 */
async function sendHeartbeatsFor(seconds: number, hasLeader: boolean) {
  const clock = new ManualClock();
  const configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  configuration.offer({ version: 1, text: '' });
  view.offer({ epoch: 1, members: [], quorum: 0 });
  const replicas = Array.from({ length: REPLICA_COUNT }, (_, index) => replica(index));
  const [first] = replicas;
  const leader = hasLeader
    ? { name: 'replica-0', address: first?.address ?? '', term: 1 }
    : undefined;
  let recipients: string[] = [];
  const peers = {
    call: (address: string) => {
      recipients.push(address);
      const node = replicas.find((candidate) => candidate.address === address);
      return Promise.resolve({
        node,
        nodes: replicas,
        leader,
        configurationVersion: 1,
        viewEpoch: 1,
      });
    },
    cast: () => undefined,
    isConnected: () => true,
  } as unknown as RpcClient<ClusterContract>;
  const sender = new HeartbeatSender({
    self: { ...replica(9), keepsClusterState: false },
    status: () => ({ configurationVersion: 1, viewEpoch: 1, completeFor: 0 }),
    seeds: () => replicas.slice(0, 3).map(({ address }) => address),
    directory: new NodeDirectory(clock),
    peers,
    clock,
    logger: createSilentLogger(),
    configuration,
    view,
  });
  sender.start();
  const bySecond: string[][] = [];
  for (let second = 0; second < seconds; second += 1) {
    recipients = [];
    for (let step = 0; step < 40; step += 1) {
      clock.advance(SECOND_MILLISECONDS / 40);
      await new Promise((resolve) => setImmediate(resolve));
    }
    bySecond.push(recipients);
  }
  sender.stop();
  return bySecond;
}

describe('HeartbeatSender', () => {
  it('sends to the leader at every interval and to each other replica every second', async () => {
    const [, ...later] = await sendHeartbeatsFor(5, true);
    for (const recipients of later) {
      const others = new Set(recipients.filter((address) => address !== '10.0.0.0:7000'));
      const toLeader = recipients.filter((address) => address === '10.0.0.0:7000').length;
      expect(toLeader).toBeGreaterThanOrEqual(3);
      expect(others.size).toBe(REPLICA_COUNT - 1);
      expect(recipients.length).toBeLessThanOrEqual(12);
    }
  });

  it('sends to all replicas in rotation, at a shorter interval, while no leader is known', async () => {
    const [, ...later] = await sendHeartbeatsFor(3, false);
    for (const recipients of later) {
      expect(new Set(recipients).size).toBe(REPLICA_COUNT);
      expect(recipients.length).toBeGreaterThan(16);
      expect(recipients.length).toBeLessThan(30);
    }
  });

  // Guards against a process that missed the message of a view change and stays in the old view.
  it('fetches a newer view and a newer configuration from the process that reports them', async () => {
    const clock = new ManualClock();
    const configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
    const view = new LatestValue<StoreView>(({ epoch }) => epoch);
    const answers: Readonly<Record<string, unknown>> = {
      'cluster.greet': { node: replica(1), configurationVersion: 4, viewEpoch: 3 },
      'cluster.configuration': { version: 4, text: '' },
      'cluster.view': { epoch: 3, members: [], quorum: 0 },
    };
    const peers = { call: (_address: string, name: string) => Promise.resolve(answers[name]) };
    const sender = new HeartbeatSender({
      self: replica(9),
      status: () => ({ configurationVersion: 0, viewEpoch: 0, completeFor: 0 }),
      seeds: () => [replica(1).address],
      directory: new NodeDirectory(clock),
      peers: peers as unknown as RpcClient<ClusterContract>,
      clock,
      logger: createSilentLogger(),
      configuration,
      view,
    });
    sender.start();
    sender.stop();
    await new Promise((resolve) => setImmediate(resolve));
    expect([configuration.version, view.version]).toEqual([4, 3]);
  });

  // Guards against a process that takes the same configuration from several others at once.
  describe('of a process that serves by an older configuration', () => {
    /** A process with version 3, among replicas that report version 4 and answer no fetch. */
    function createOutdatedProcess() {
      const clock = new ManualClock();
      const configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
      const view = new LatestValue<StoreView>(({ epoch }) => epoch);
      configuration.offer({ version: 3, text: '' });
      view.offer({ epoch: 1, members: [], quorum: 0 });
      const leader = { name: 'replica-1', address: replica(1).address, term: 1 };
      const calls: { readonly name: string; readonly address: string }[] = [];
      const call = (address: string, name: string) => {
        calls.push({ name, address });
        if (name !== 'cluster.greet') return new Promise(() => undefined);
        const node = replica(1);
        return Promise.resolve({ node, leader, configurationVersion: 4, viewEpoch: 1 });
      };
      const sender = new HeartbeatSender({
        self: replica(9),
        status: () => ({ configurationVersion: 3, viewEpoch: 1, completeFor: 0 }),
        seeds: () => [1, 2, 3].map((index) => replica(index).address),
        ...{ directory: new NodeDirectory(clock), clock, configuration, view },
        peers: { call } as unknown as RpcClient<ClusterContract>,
        logger: createSilentLogger(),
      });
      const advance = async (milliseconds: number) => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 25) {
          clock.advance(25);
          await new Promise((resolve) => setImmediate(resolve));
        }
      };
      const count = (name: string) => calls.filter((sent) => sent.name === name).length;
      return { sender, configuration, calls, advance, count, leader };
    }

    it('fetches a newer one only once it was not sent for a while, and from one process', async () => {
      const { sender, advance, count } = createOutdatedProcess();
      sender.start();
      await advance(150);
      expect(count('cluster.configuration')).toBe(0);
      await advance(800);
      expect(count('cluster.configuration')).toBe(1);
      sender.stop();
    });

    it('tells the leader at once when a newer one is in force', async () => {
      const { sender, configuration, advance, calls, leader } = createOutdatedProcess();
      sender.start();
      await advance(100);
      calls.length = 0;
      configuration.offer({ version: 4, text: '' });
      expect(calls).toEqual([{ name: 'cluster.greet', address: leader.address }]);
      sender.stop();
    });
  });
});

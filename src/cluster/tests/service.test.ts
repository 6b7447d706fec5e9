import { createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import {
  ClusterBootstrap,
  type ClusterContract,
  ClusterService,
  type HeartbeatSender,
  LatestValue,
  NodeDirectory,
  type NodeInfo,
  type ReplicaComponents,
  type StoreView,
  type VersionedConfiguration,
} from '..';

const VIEW: StoreView = { epoch: 2, members: [], quorum: 2 };

const STATUS = { configurationVersion: 0, viewEpoch: 0, completeFor: 0 };

function gateway(name: string, host: number): NodeInfo {
  return {
    name,
    kind: 'gateway',
    address: `10.0.0.${host}:7000`,
    availabilityZone: 'a',
    keepsClusterState: true,
    run: name,
    dataLife: '',
  };
}

const SELF = gateway('g1', 1);

const OTHER = gateway('g2', 2);

/** The service of a process whose replica has committed version 3 and leads if `isLeader`. */
function createService(isLeader: boolean) {
  const clock = new ManualClock();
  const logger = createSilentLogger();
  const sent: { readonly address: string; readonly name: string }[] = [];
  const peers = {
    call: () => Promise.reject(new Error('no other process is running')),
    cast: (address: string, name: string) => sent.push({ address, name }),
    isConnected: () => false,
  } as unknown as RpcClient<ClusterContract>;
  const directory = new NodeDirectory(clock);
  directory.recordHeartbeat(OTHER, STATUS);
  const configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const replica = {
    serves: isLeader,
    leader: undefined,
    leadership: { term: 1, since: 0 },
    memberHosts: [],
    stateMachine: { configuration: { version: 3, text: 'committed' } },
    read: (read: () => unknown) =>
      isLeader ? { kind: 'done', value: read() } : { kind: 'not-leader', leader: undefined },
  };
  clock.advance(1000);
  const report = (configurationVersion: number) => {
    directory.recordHeartbeat(OTHER, { ...STATUS, configurationVersion });
  };
  const service = new ClusterService({
    self: SELF,
    status: () => STATUS,
    directory,
    heartbeatSender: { leader: undefined } as unknown as HeartbeatSender,
    bootstrap: new ClusterBootstrap({
      ...{ self: SELF.name, address: SELF.address, isFirstStart: false, seeds: () => [] },
      ...{ peers, clock, logger },
    }),
    peers,
    clock,
    logger,
    configuration,
    view,
    replicaComponents: { replica, viewController: {} } as unknown as ReplicaComponents,
  });
  return { service, configuration, view, sent, report };
}

function greet(service: ClusterService) {
  const heartbeat = { node: OTHER, status: STATUS, nodesDigest: '' };
  return service.calls['cluster.greet']?.(heartbeat);
}

// Guards against an acknowledged change that a process reports as not made, or learns of late.
describe('ClusterService', () => {
  describe('of the leader', () => {
    it('confirms heartbeats and reads the committed configuration', async () => {
      const { service, configuration } = createService(true);
      configuration.offer({ version: 2, text: 'cached' });
      expect(await greet(service)).toMatchObject({ confirms: true, configurationVersion: 2 });
      const answer = await service.calls['cluster.read']?.(null);
      expect(answer).toEqual({ kind: 'done', value: { version: 3, text: 'committed' } });
    });

    it('does not say that a configuration is in force while a gateway in touch has an older one', async () => {
      const { service, report } = createService(true);
      const ask = () => service.calls['cluster.inForce']?.({ version: 3, milliseconds: 0 });
      report(2);
      expect(await ask()).toEqual({
        kind: 'not-now',
        reason: `configuration 3 is not in force at ${OTHER.name} yet`,
      });
      report(3);
      expect(await ask()).toEqual({ kind: 'done', value: true });
    });

    it('sends a new configuration and a new view to the processes that it knows', () => {
      const { configuration, view, sent } = createService(true);
      configuration.offer({ version: 4, text: '' });
      view.offer(VIEW);
      expect(sent).toEqual([
        { address: OTHER.address, name: 'cluster.configured' },
        { address: OTHER.address, name: 'cluster.viewed' },
      ]);
    });
  });

  describe('of a process that does not lead', () => {
    it('does not say what is in force', async () => {
      const { service } = createService(false);
      const answer = await service.calls['cluster.inForce']?.({ version: 3, milliseconds: 0 });
      expect(answer).toMatchObject({ kind: 'not-leader' });
    });

    it('confirms no heartbeat and reads no configuration', async () => {
      const { service, configuration } = createService(false);
      configuration.offer({ version: 2, text: 'cached' });
      expect(await greet(service)).toMatchObject({ confirms: false });
      const answer = await service.calls['cluster.read']?.(null);
      expect(answer).toEqual({ kind: 'not-leader', leader: undefined });
    });

    it('takes a newer view and configuration, and no older ones', () => {
      const { service, configuration, view } = createService(false);
      for (const version of [3, 5, 4]) {
        service.casts['cluster.configured']?.({ version, text: '' });
        service.casts['cluster.viewed']?.({ ...VIEW, epoch: version });
      }
      expect([configuration.version, view.version]).toEqual([5, 5]);
    });
  });
});

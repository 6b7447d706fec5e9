import { LifeCycle, type Logger, Metrics, type RandomSource } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import type { MemoryDisk } from '../../storage/tests/memory-disk';
import {
  Backfill,
  ChainCache,
  TurnClient,
  type TurnContract,
  TurnJournal,
  TurnStore,
} from '../../turns';
import {
  ClusterBootstrap,
  ClusterClient,
  ClusterReplica,
  ClusterService,
  ClusterStateCache,
  HeartbeatSender,
  LatestValue,
  LeaderConfirmation,
  NodeDirectory,
  type NodeInfo,
  type NodeStatus,
  type ReplicaComponents,
  type StoreView,
  type VersionedConfiguration,
  ViewController,
} from '..';
import type { ConfirmingRpcClient } from '../../rpc';
import type { ClusterContract } from '../contract';
import type { SimulatedNetwork, SimulatedServer } from './simulated-network';

export const TOLERATED_LOSSES = 2;

const RUN_ID_BYTES = 8;

/** Small enough that a schedule starts several segments. */
const SEGMENT_BYTES = 4000;

export interface SimulatedProcessOptions {
  readonly node: Omit<NodeInfo, 'run' | 'keepsClusterState' | 'dataLife'>;
  /** On it a store keeps budgets, and a gateway a replica of the cluster state. */
  readonly disk: MemoryDisk | undefined;
  readonly isFirstStart: boolean;
  readonly seeds: readonly string[];
  readonly network: SimulatedNetwork;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** One run of a gateway or store, with the components of the cluster as in `src/nodes`. */
export class SimulatedProcess implements SimulatedServer {
  /** Advances only while the process runs. */
  readonly clock = new ManualClock();
  readonly configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  readonly view = new LatestValue<StoreView>(({ epoch }) => epoch);
  readonly client: ClusterClient;
  readonly turns: TurnClient;
  readonly replica: ClusterReplica | undefined;
  readonly host: string;
  readonly calls: SimulatedServer['calls'];
  readonly casts: SimulatedServer['casts'];
  isRunning = true;
  isSuspended = false;
  readonly #lifeCycle = new LifeCycle();

  constructor(options: SimulatedProcessOptions) {
    const { node, disk, seeds, network, random, logger, isFirstStart } = options;
    this.host = node.name;
    this.clock.advance(random.fraction() * 10_000);
    const { clock, configuration, view } = this;
    const keepsClusterState = disk !== undefined && node.kind === 'gateway';
    const run = random.hex(RUN_ID_BYTES);
    // The content of a store's disk is known only once its journal is open.
    const self = { ...node, keepsClusterState, run, dataLife: '' };
    const peers: ConfirmingRpcClient<ClusterContract & TurnContract> = network.createClient(this);
    const metrics = new Metrics();
    const shared = {
      directory: new NodeDirectory(clock),
      peers,
      seeds: () => seeds,
      ...{ clock, logger, configuration, view },
    };
    const { address } = self;
    const bootstrap = new ClusterBootstrap({ ...shared, self: self.name, address, isFirstStart });
    const replicaComponents =
      (keepsClusterState &&
        createReplicaComponents({ ...shared, self, bootstrap, random }, disk)) ||
      undefined;
    this.replica = replicaComponents?.replica;
    const journal =
      disk && node.kind === 'store' ? new TurnJournal(openStore(disk, 'turns'), random) : undefined;
    const turnStore =
      journal &&
      new TurnStore({
        ...{ ...shared, self: self.name, journal, metrics },
        backfill: new Backfill({ ...shared, self: self.name, journal, random }),
      });
    const status = (): NodeStatus => ({
      configurationVersion: configuration.version,
      viewEpoch: view.version,
      completeFor: journal?.completeFor ?? 0,
    });
    const confirmation = new LeaderConfirmation(clock);
    const isLeader = () => this.replica?.serves === true;
    const heartbeatSender = new HeartbeatSender({
      ...shared,
      ...{ self, status, confirmation, isLeader },
    });
    const service = new ClusterService({
      ...shared,
      ...{ self, status, heartbeatSender, bootstrap, replicaComponents },
    });
    const { localLeaderCalls } = service;
    this.client = new ClusterClient({
      ...shared,
      ...{ selfAddress: address, heartbeatSender, localLeaderCalls },
    });
    this.turns = new TurnClient({
      ...shared,
      ...{ availabilityZone: self.availabilityZone, cache: new ChainCache(0), metrics },
      quorumMonitor: { recordSuccess: () => undefined },
    });
    this.calls = { ...service.calls, ...turnStore?.calls } as SimulatedServer['calls'];
    this.casts = { ...service.casts, ...turnStore?.casts } as SimulatedServer['casts'];
    if (journal !== undefined && turnStore !== undefined) {
      this.#lifeCycle.add('journal', {
        start: async () => {
          await journal.open();
          self.dataLife = journal.dataLife;
        },
      });
      this.#lifeCycle.add('store', turnStore);
    }
    if (keepsClusterState) {
      const store = openStore(disk, 'known');
      this.#lifeCycle.add('cluster-state-cache', new ClusterStateCache({ ...shared, store }));
    }
    if (replicaComponents) this.#lifeCycle.add('cluster-state', replicaComponents.replica);
    this.#lifeCycle.add('rpc-server', {
      start: () => {
        if (this.isRunning) network.listen(address, this);
      },
      stop: () => {
        network.close(address, this);
      },
    });
    this.#lifeCycle.add('cluster-service', service);
    this.#lifeCycle.add('heartbeat', heartbeatSender);
    if (replicaComponents) {
      this.#lifeCycle.add('view-controller', replicaComponents.viewController);
    }
  }

  start(): Promise<void> {
    return this.#lifeCycle.start();
  }

  stop(): Promise<void> {
    return this.#lifeCycle.stop();
  }
}

type ReplicaDependencies = Omit<
  ConstructorParameters<typeof ClusterReplica>[0],
  'openStore' | 'toleratedLosses'
>;

function createReplicaComponents(
  dependencies: ReplicaDependencies,
  disk: MemoryDisk,
): ReplicaComponents {
  const toleratedLosses = TOLERATED_LOSSES;
  const replica = new ClusterReplica({
    ...dependencies,
    toleratedLosses,
    openStore: () => openStore(disk, 'cluster'),
  });
  return {
    replica,
    viewController: new ViewController({ ...dependencies, replica, toleratedLosses }),
  };
}

function openStore(disk: MemoryDisk, name: string): SegmentedStore {
  const fileSystem = disk.mount();
  return new SegmentedStore({ folder: `/${name}`, fileSystem, segmentBytes: SEGMENT_BYTES });
}

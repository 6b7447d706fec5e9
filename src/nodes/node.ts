import { join } from 'node:path';
import {
  type Clock,
  LifeCycle,
  type Logger,
  Metrics,
  type RandomSource,
  createLogger,
  formatAddress,
  parseAddress,
} from '../core';
import {
  ClusterClient,
  ClusterReplica,
  ClusterService,
  ClusterBootstrap,
  HeartbeatSender,
  type HeartbeatSenderOptions,
  type ReplicaComponents,
  ClusterStateCache,
  LatestValue,
  NodeDirectory,
  type NodeInfo,
  type NodeKind,
  type NodeStatus,
  type StoreView,
  type VersionedConfiguration,
  ViewController,
} from '../cluster';
import { LatencyHistograms } from '../core/latency';
import { type CallHandlers, type CastHandlers, RpcServer, PeerConnections } from '../rpc';
import type { QuotaAllocator } from '../quotas';
import { NodeFileSystem, QuarantiningStore, type RecordStore } from '../storage';
import type { SystemContract } from './contract';
import { HttpEndpoint, answerMetrics } from './http-endpoint';
import { LogOutput } from './log-output';
import type { NodeSettings } from './settings';

/** Random bytes that name one run of a process. */
const RUN_BYTES = 8;

export interface NodePartsOptions {
  readonly kind: NodeKind;
  readonly settings: NodeSettings;
  /** The newest settings, which may name other seeds than the first ones. */
  readonly currentSettings: () => NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Ends the process, which can't go on and is to be started again; the reason was logged. */
  readonly onFailure: () => void;
}

/** What every process of the system has: logs, metrics, connections and what it knows of others. */
export class NodeParts {
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics = new Metrics(new LatencyHistograms());
  readonly logOutput: LogOutput;
  readonly logger: Logger;
  readonly peers: PeerConnections<SystemContract>;
  readonly directory: NodeDirectory;
  readonly configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  readonly view = new LatestValue<StoreView>(({ epoch }) => epoch);
  readonly #options: NodePartsOptions;

  constructor(options: NodePartsOptions) {
    this.#options = options;
    const { settings, clock, random, kind } = options;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.logOutput = new LogOutput(clock, this.metrics);
    this.logger = createLogger({
      role: kind,
      host: settings.node.name,
      level: settings.node['log-level'],
      stream: this.logOutput.stream,
    });
    this.peers = new PeerConnections<SystemContract>({ clock, logger: this.logger });
    this.directory = new NodeDirectory(clock);
  }

  /** Addresses of the seeds' connections with other processes; their port is the same everywhere. */
  readonly seeds = (): readonly string[] => {
    const { port } = parseAddress(this.settings.node.address);
    return this.#options
      .currentSettings()
      .node.seeds.map((seed) => formatAddress({ host: parseAddress(seed).host, port }));
  };

  describe(keepsClusterState: boolean, dataLife: string): NodeInfo {
    const { node } = this.settings;
    return {
      name: node.name,
      kind: this.#options.kind,
      address: node.address,
      availabilityZone: node['availability-zone'],
      keepsClusterState,
      run: this.random.hex(RUN_BYTES),
      dataLife,
    };
  }

  /** A store of records in a folder of its own. */
  openStore(name: string): RecordStore {
    const { settings, logger } = this;
    return new QuarantiningStore({
      folder: join(settings.node['data-folder'] ?? '', name),
      fileSystem: new NodeFileSystem({ synchronousWrites: false }),
      mayQuarantine: true,
      onQuarantine: (error, movedTo) => {
        logger.error({ event: 'storage-quarantined', store: name, error: error.message, movedTo });
      },
      onTornTail: (file, bytes) => {
        logger.warn({ event: 'torn-tail-cut', file, bytes });
      },
    });
  }

  createGreeter(
    self: NodeInfo,
    status: () => NodeStatus,
    leadership?: Pick<HeartbeatSenderOptions, 'confirmation' | 'isLeader'>,
  ): HeartbeatSender {
    return new HeartbeatSender({ ...this.#shared, self, status, seeds: this.seeds, ...leadership });
  }

  createFounding(self: NodeInfo): ClusterBootstrap {
    return new ClusterBootstrap({
      ...this.#shared,
      self: self.name,
      address: self.address,
      isFirstStart: this.settings.node['first-start'],
      seeds: this.seeds,
    });
  }

  /** This host's copy of the cluster's state. */
  createKeeper(self: NodeInfo, founding: ClusterBootstrap): ReplicaComponents {
    const toleratedLosses = this.settings.node['tolerated-losses'];
    const member = new ClusterReplica({
      ...this.#shared,
      self,
      toleratedLosses,
      bootstrap: founding,
      openStore: () => this.openStore('cluster'),
      random: this.random,
    });
    const viewKeeper = new ViewController({ ...this.#shared, replica: member, toleratedLosses });
    return { replica: member, viewController: viewKeeper };
  }

  /** What this host knew before it was started again; it must have a disk. */
  createKnownState(): ClusterStateCache {
    return new ClusterStateCache({ ...this.#shared, store: this.openStore('known') });
  }

  createService(
    self: NodeInfo,
    parts: {
      readonly status: () => NodeStatus;
      readonly heartbeatSender: HeartbeatSender;
      readonly bootstrap: ClusterBootstrap;
      readonly replicaComponents: ReplicaComponents | undefined;
      readonly quotas?: QuotaAllocator;
    },
  ): ClusterService {
    return new ClusterService({ ...this.#shared, self, ...parts });
  }

  createClient(self: NodeInfo, greeter: HeartbeatSender, service: ClusterService): ClusterClient {
    const { localLeaderCalls: local } = service;
    return new ClusterClient({
      ...this.#shared,
      selfAddress: self.address,
      heartbeatSender: greeter,
      localLeaderCalls: local,
    });
  }

  createListener(
    calls: readonly CallHandlers<SystemContract>[],
    casts: readonly CastHandlers<SystemContract>[],
  ): RpcServer<SystemContract> {
    const address = parseAddress(this.settings.node.address);
    return new RpcServer<SystemContract>({ address, logger: this.logger, calls, casts });
  }

  addMetrics(lifeCycle: LifeCycle): void {
    const { metrics: address } = this.settings.listen;
    if (address === undefined) return;
    const handle = answerMetrics(() => this.metrics.render());
    lifeCycle.add('metrics', new HttpEndpoint({ address, logger: this.logger, handle }));
  }

  get #shared() {
    const { directory, peers, clock, logger, configuration, view } = this;
    return { directory, peers, clock, logger, configuration, view };
  }
}

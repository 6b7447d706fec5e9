import { join } from 'node:path';
import {
  type Clock,
  LifeCycle,
  LogOutput,
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
  newestState,
  NodeDirectory,
  type NodeInfo,
  type NodeKind,
  type NodeStatus,
  type StoreView,
  type VersionedConfiguration,
  ViewController,
} from '../cluster';
import { LatencyHistograms } from '../core/latency-histograms';
import { type CallHandlers, type CastHandlers, RpcServer, PeerConnections } from '../rpc';
import {
  MemoryBudget,
  MemoryReclaimer,
  type ResponseMemory,
  type ResourceLimits,
  createObservedResponseMemory,
  resourceLimits,
} from '../resources';
import type { QuotaAllocator } from '../quotas';
import { NodeFileSystem, QuarantiningStore, RecoveringStore, type RecordStore } from '../storage';
import type { SystemContract } from './contract';
import { HttpEndpoint, type HttpEndpointOptions, serveMetrics, withoutBody } from './http-endpoint';
import type { NodeSettings } from './node-settings';

const RUN_ID_BYTES = 8;

export interface NodeContextOptions {
  readonly kind: NodeKind;
  readonly settings: NodeSettings;
  /** The settings after the last reload, which may contain other seeds than `settings`. */
  readonly currentSettings: () => NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Dependencies shared by the components of a process, and factories for those of the cluster. */
export class NodeContext {
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics = new Metrics(new LatencyHistograms());
  readonly logOutput: LogOutput;
  readonly logger: Logger;
  readonly peers: PeerConnections<SystemContract>;
  readonly directory: NodeDirectory;
  readonly limits: ResourceLimits;
  /** Memory for the bodies of callers' requests and of their responses. */
  readonly bodyBudget: MemoryBudget;
  /** Memory for the responses of targets that are buffered. */
  readonly responseMemory: ResponseMemory;
  /** Memory for the bodies of operators' calls. */
  readonly operatorBudget: MemoryBudget;
  readonly reclaimer: MemoryReclaimer;
  readonly configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  readonly view = new LatestValue<StoreView>(({ epoch }) => epoch);
  readonly #options: NodeContextOptions;

  constructor(options: NodeContextOptions) {
    this.#options = options;
    const { settings, clock, random, kind } = options;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.logOutput = new LogOutput({ clock, metrics: this.metrics });
    this.logger = createLogger({
      role: kind,
      host: settings.node.name,
      level: settings.node['log-level'],
      stream: this.logOutput,
    });
    this.peers = new PeerConnections<SystemContract>({ clock, logger: this.logger });
    this.directory = new NodeDirectory(clock);
    this.limits = resourceLimits(settings.resources);
    this.bodyBudget = this.#createBudget('body', this.limits.bodyBytes);
    this.responseMemory = this.#createResponseMemory();
    this.operatorBudget = this.#createBudget('operator', this.limits.operatorBytes);
    this.reclaimer = new MemoryReclaimer(this.limits.collectionBytes);
    this.metrics.gauge('peer_queued_bytes', () => this.peers.queuedBytes);
    this.metrics.gauge('configuration_version', () => this.configuration.version);
  }

  /** RPC addresses of the seeds; the RPC port is the same on all hosts. */
  readonly seeds = (): readonly string[] => {
    const { port } = parseAddress(this.settings.node.address);
    return this.#options
      .currentSettings()
      .node.seeds.map((seed) => formatAddress({ host: parseAddress(seed).host, port }));
  };

  describeSelf(keepsClusterState: boolean, dataLife: string): NodeInfo {
    const { node } = this.settings;
    return {
      name: node.name,
      kind: this.#options.kind,
      address: node.address,
      availabilityZone: node['availability-zone'],
      keepsClusterState,
      run: this.random.hex(RUN_ID_BYTES),
      dataLife,
    };
  }

  /** Opens the subfolder `name` of the data folder; an unreadable store is quarantined. */
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

  createHeartbeatSender(
    self: NodeInfo,
    status: () => NodeStatus,
    leadership?: Pick<HeartbeatSenderOptions, 'confirmation' | 'isLeader'>,
  ): HeartbeatSender {
    return new HeartbeatSender({
      ...this.#sharedOptions,
      self,
      status,
      seeds: this.seeds,
      ...leadership,
    });
  }

  createBootstrap(self: NodeInfo): ClusterBootstrap {
    return new ClusterBootstrap({
      ...this.#sharedOptions,
      self: self.name,
      address: self.address,
      isFirstStart: this.settings.node['first-start'],
      seeds: this.seeds,
    });
  }

  /** This host's replica of the cluster's state. */
  createReplicaComponents(self: NodeInfo, bootstrap: ClusterBootstrap): ReplicaComponents {
    const toleratedLosses = this.settings.node['tolerated-losses'];
    const replica = new ClusterReplica({
      ...this.#sharedOptions,
      self,
      toleratedLosses,
      bootstrap,
      openStore: () => this.openStore('cluster'),
      random: this.random,
    });
    this.metrics.gauge('cluster_state_usable', () => Number(replica.isUsable));
    const viewController = new ViewController({ ...this.#sharedOptions, replica, toleratedLosses });
    return { replica, viewController };
  }

  /** Requires a data folder. */
  createClusterStateCache(): ClusterStateCache {
    const { clock, logger, configuration, view } = this;
    const store = new RecoveringStore({
      ...{ name: 'known', loadWaits: false, clock, logger },
      openStore: () => this.openStore('known'),
      snapshot: () => newestState(configuration, view),
    });
    return new ClusterStateCache({ ...this.#sharedOptions, store });
  }

  createClusterService(
    self: NodeInfo,
    options: {
      readonly status: () => NodeStatus;
      readonly heartbeatSender: HeartbeatSender;
      readonly bootstrap: ClusterBootstrap;
      readonly replicaComponents: ReplicaComponents | undefined;
      readonly quotas?: QuotaAllocator;
    },
  ): ClusterService {
    return new ClusterService({ ...this.#sharedOptions, self, ...options });
  }

  createClusterClient(
    self: NodeInfo,
    heartbeatSender: HeartbeatSender,
    service: ClusterService,
  ): ClusterClient {
    const { localLeaderCalls } = service;
    return new ClusterClient({
      ...this.#sharedOptions,
      selfAddress: self.address,
      heartbeatSender,
      localLeaderCalls,
    });
  }

  createRpcServer(
    calls: readonly CallHandlers<SystemContract>[],
    casts: readonly CastHandlers<SystemContract>[],
  ): RpcServer<SystemContract> {
    const { clock, logger, metrics, reclaimer, limits } = this;
    return new RpcServer<SystemContract>({
      address: parseAddress(this.settings.node.address),
      clock,
      logger,
      calls,
      casts,
      connections: { listener: 'peers', limit: limits.connections.peers, clock, metrics },
      frames: { budget: this.#createBudget('frame', limits.frameBytes), reclaimer },
    });
  }

  addMetricsEndpoint(lifeCycle: LifeCycle): void {
    const { metrics: address } = this.settings.listen;
    if (address === undefined) return;
    const handle = withoutBody(
      this,
      serveMetrics(() => this.metrics.render()),
    );
    this.addHttpEndpoint(lifeCycle, 'metrics', address, handle);
  }

  /** Adds and returns an HTTP server, unless its address is undefined. */
  addHttpEndpoint(
    lifeCycle: LifeCycle,
    name: 'operators' | 'readiness' | 'metrics',
    address: string | undefined,
    handle: HttpEndpointOptions['handle'],
  ): HttpEndpoint | undefined {
    if (address === undefined) return undefined;
    const { reclaimer, clock, logger, metrics } = this;
    const connectionLimit = this.limits.connections[name];
    const options = { name, address, connectionLimit, reclaimer, clock, logger, metrics, handle };
    return lifeCycle.add(name, new HttpEndpoint(options));
  }

  #createResponseMemory(): ResponseMemory {
    const { responseBytes: capacityBytes, waitingResponses: waitingLimit } = this.limits;
    const { clock, logger, metrics } = this;
    return createObservedResponseMemory({ capacityBytes, waitingLimit, clock, logger, metrics });
  }

  /** Creates a budget whose use is among the metrics. */
  #createBudget(name: string, capacityBytes: number): MemoryBudget {
    const budget = new MemoryBudget({ capacityBytes, clock: this.clock });
    const label = `{budget="${name}"}`;
    this.metrics.gauge(`memory_budget_used_bytes${label}`, () => budget.usedBytes);
    this.metrics.gauge(`memory_budget_capacity_bytes${label}`, () => budget.capacityBytes);
    this.metrics.gauge(`memory_budget_refused${label}`, () => budget.refusedCount);
    this.metrics.gauge(`memory_budget_revoked${label}`, () => budget.revokedCount);
    return budget;
  }

  get #sharedOptions() {
    const { directory, peers, clock, logger, configuration, view } = this;
    return { directory, peers, clock, logger, configuration, view };
  }
}

import { type Component, type Logger, PeriodicTask, type Clock } from '../core';
import type { QuotaAllocator } from '../quotas';
import type { CallHandlers, RpcClient, CastHandlers } from '../rpc';
import type { LocalLeaderCalls } from './client';
import type {
  ClusterContract,
  HeartbeatResponse,
  HeartbeatRequest,
  LeaderAnswer,
  RolloutRequest,
  VersionedConfiguration,
} from './contract';
import type { NodeDirectory } from './directory';
import type { ClusterBootstrap } from './bootstrap';
import { ConfigurationRelay } from './configuration-relay';
import type { HeartbeatSender } from './heartbeat-sender';
import type { ClusterReplica } from './replica';
import type { LatestValue } from './latest-value';
import type { NodeInfo, NodeStatus } from './node';
import { packedLengthOf } from './packed-text';
import { RolloutMonitor } from './rollout-monitor';
import type { StoreView } from './view';
import type { ViewController } from './view-controller';

/** Interval between requests for permission to bootstrap the cluster state. */
const BOOTSTRAP_RETRY_MILLISECONDS = 200;

/** Components that exist only on a host with a replica of the cluster state. */
export interface ReplicaComponents {
  readonly replica: ClusterReplica;
  readonly viewController: ViewController;
}

export interface ClusterServiceOptions {
  readonly self: NodeInfo;
  readonly status: () => NodeStatus;
  readonly directory: NodeDirectory;
  readonly heartbeatSender: HeartbeatSender;
  readonly bootstrap: ClusterBootstrap;
  readonly peers: RpcClient<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: LatestValue<VersionedConfiguration>;
  readonly view: LatestValue<StoreView>;
  readonly replicaComponents: ReplicaComponents | undefined;
  /** Allocates team quotas while this process leads; absent where it never leads. */
  readonly quotas?: QuotaAllocator | undefined;
}

/** Serves the RPCs of the cluster and, as the leader, broadcasts changes of its state. */
export class ClusterService implements Component {
  readonly #options: ClusterServiceOptions;
  readonly #bootstrapTask: PeriodicTask;
  readonly #relay: ConfigurationRelay | undefined;
  readonly #rollout: RolloutMonitor | undefined;

  constructor(options: ClusterServiceOptions) {
    this.#options = options;
    const { configuration, view, clock, logger, replicaComponents } = options;
    this.#bootstrapTask = new PeriodicTask(clock, BOOTSTRAP_RETRY_MILLISECONDS, () =>
      this.#requestBootstrap(),
    );
    configuration.onChange((value) => {
      const { version, text } = value;
      logger.info({
        event: 'configuration-in-force',
        version,
        sentCharacters: packedLengthOf(text),
      });
      this.#relay?.send(value);
    });
    view.onChange((value) => {
      logger.info({ event: 'stores-in-use', ...value });
      if (replicaComponents?.replica.serves === true) this.#broadcastView(value);
    });
    if (replicaComponents === undefined) return;
    const { replica } = replicaComponents;
    this.#rollout = new RolloutMonitor({
      ...options,
      leaderSince: () => replica.leadership.since,
    });
    this.#relay = new ConfigurationRelay({
      ...options,
      isLeader: () => replica.serves,
      memberHosts: () => replica.memberHosts,
    });
  }

  start(): void {
    if (this.#options.replicaComponents !== undefined) this.#bootstrapTask.start();
  }

  stop(): void {
    this.#bootstrapTask.stop();
  }

  /** Leader calls on this process's own replica; undefined without a replica. */
  get localLeaderCalls(): LocalLeaderCalls | undefined {
    const { replicaComponents, quotas } = this.#options;
    if (replicaComponents === undefined) return undefined;
    const { replica, viewController } = replicaComponents;
    return {
      'cluster.propose': (command) => replica.propose(command),
      'cluster.inForce': (request) => this.#waitUntilInForce(replica, request),
      'cluster.read': () => replica.read(() => replica.stateMachine.configuration),
      'cluster.retire': (store) => viewController.retire(store),
      'cluster.retirement': (store) => viewController.retirement(store),
      'cluster.quotas': (report) => {
        if (quotas === undefined)
          return { kind: 'not-now', reason: 'no quotas are allocated here' };
        return replica.read(() => quotas.allocate(report, replica.leadership));
      },
    };
  }

  get calls(): CallHandlers<ClusterContract> {
    const { bootstrap, configuration, view } = this.#options;
    return {
      'cluster.greet': (heartbeat) => this.#answerHeartbeat(heartbeat),
      'cluster.found': (host) => bootstrap.grant(host),
      'cluster.configuration': () => configuration.value,
      'cluster.view': () => view.value,
      ...this.localLeaderCalls,
    };
  }

  get casts(): CastHandlers<ClusterContract> {
    const { configuration, view, replicaComponents } = this.#options;
    return {
      'cluster.replicate': (envelopes) => replicaComponents?.replica.receive(envelopes),
      'cluster.configured': (value) => {
        configuration.offer(value);
      },
      'cluster.viewed': (value) => {
        view.offer(value);
      },
    };
  }

  #answerHeartbeat({ node, status, nodesDigest }: HeartbeatRequest): HeartbeatResponse {
    const { self, directory, heartbeatSender, configuration, view, replicaComponents } =
      this.#options;
    directory.recordHeartbeat(node, status);
    const { digest } = directory;
    const nodes = directory.all().map((known) => known.node);
    return {
      node: self,
      nodes: digest === nodesDigest ? undefined : nodes,
      leader: replicaComponents?.replica.leader ?? heartbeatSender.leader,
      configurationVersion: configuration.version,
      viewEpoch: view.version,
      confirms: replicaComponents?.replica.serves ?? false,
    };
  }

  async #waitUntilInForce(
    replica: ClusterReplica,
    { version, milliseconds }: RolloutRequest,
  ): Promise<LeaderAnswer<true>> {
    const leadership = replica.read(() => true as const);
    if (leadership.kind !== 'done' || this.#rollout === undefined) return leadership;
    const state = await this.#rollout.waitFor(version, milliseconds);
    if (state.kind === 'complete') return replica.read(() => true as const);
    this.#options.logger.info({ event: 'configuration-awaited', version, ...state });
    const where = state.kind === 'incomplete' ? state.gateways.join(', ') : 'some gateways';
    return { kind: 'not-now', reason: `configuration ${version} is not in force at ${where} yet` };
  }

  /** Sends a view to all known processes; one that misses it catches up at its next heartbeat. */
  #broadcastView(value: StoreView): void {
    const { directory, peers, self } = this.#options;
    for (const { node } of directory.all()) {
      if (node.name !== self.name) peers.cast(node.address, 'cluster.viewed', value);
    }
  }

  async #requestBootstrap(): Promise<void> {
    const { replicaComponents, bootstrap, heartbeatSender } = this.#options;
    const leader = replicaComponents?.replica.leader ?? heartbeatSender.leader;
    if (leader === undefined && replicaComponents?.replica.isNew === true)
      await bootstrap.requestGrant();
  }
}

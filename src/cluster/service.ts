import { type Component, type Logger, PeriodicTask, type Clock } from '../core';
import type { QuotaAllocator } from '../quotas';
import type { CallHandlers, Caller, CastHandlers } from '../link';
import type { LocalLeader } from './client';
import type { ClusterContract, GreetingAnswer, Greeting, VersionedConfiguration } from './contract';
import type { NodeDirectory } from './directory';
import type { Founding } from './founding';
import type { Greeter } from './greeter';
import type { ClusterMember } from './member';
import type { Newest } from './newest';
import type { NodeInfo, NodeStatus } from './node';
import type { StoreView } from './view';
import type { ViewKeeper } from './view-keeper';

/** Pause between questions for the right to found the state; milliseconds. */
const FOUNDING_MILLISECONDS = 200;

/** The parts that only a host with a copy of the cluster's state has. */
export interface KeeperParts {
  readonly member: ClusterMember;
  readonly viewKeeper: ViewKeeper;
}

export interface ClusterServiceOptions {
  readonly self: NodeInfo;
  readonly status: () => NodeStatus;
  readonly directory: NodeDirectory;
  readonly greeter: Greeter;
  readonly founding: Founding;
  readonly peers: Caller<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: Newest<VersionedConfiguration>;
  readonly view: Newest<StoreView>;
  readonly keeper: KeeperParts | undefined;
  /** Lends the teams' quotas while this process leads; nothing where it never does. */
  readonly quotas?: QuotaAllocator | undefined;
}

/** Answers other processes about the cluster, and tells them of changes as the leader. */
export class ClusterService implements Component {
  readonly #options: ClusterServiceOptions;
  readonly #foundingTask: PeriodicTask;

  constructor(options: ClusterServiceOptions) {
    this.#options = options;
    const { configuration, view, clock, logger, keeper } = options;
    this.#foundingTask = new PeriodicTask(clock, FOUNDING_MILLISECONDS, () => this.#found());
    configuration.onChange((value) => {
      logger.info({ event: 'configuration-in-force', version: value.version });
      if (keeper?.member.serves === true) this.#announce('cluster.configured', value);
    });
    view.onChange((value) => {
      logger.info({ event: 'stores-in-use', ...value });
      if (keeper?.member.serves === true) this.#announce('cluster.viewed', value);
    });
  }

  start(): void {
    if (this.#options.keeper !== undefined) this.#foundingTask.start();
  }

  stop(): void {
    this.#foundingTask.stop();
  }

  /** What only the leader answers, for this process's own use. */
  get local(): LocalLeader | undefined {
    const { keeper, quotas } = this.#options;
    if (keeper === undefined) return undefined;
    const { member, viewKeeper } = keeper;
    return {
      'cluster.propose': (command) => member.propose(command),
      'cluster.read': () => member.read(() => member.machine.configuration),
      'cluster.retire': (store) => viewKeeper.retire(store),
      'cluster.retirement': (store) => viewKeeper.retirement(store),
      'cluster.quotas': (report) => {
        if (quotas === undefined) return { kind: 'not-now', reason: 'no quotas are lent here' };
        return member.read(() => quotas.allocate(report, member.leadership));
      },
    };
  }

  get calls(): CallHandlers<ClusterContract> {
    const { founding, configuration, view } = this.#options;
    return {
      'cluster.greet': (greeting) => this.#greet(greeting),
      'cluster.found': (host) => founding.grant(host),
      'cluster.configuration': () => configuration.value,
      'cluster.view': () => view.value,
      ...this.local,
    };
  }

  get casts(): CastHandlers<ClusterContract> {
    const { configuration, view, keeper } = this.#options;
    return {
      'cluster.replicate': (envelopes) => keeper?.member.receive(envelopes),
      'cluster.configured': (value) => {
        configuration.offer(value);
      },
      'cluster.viewed': (value) => {
        view.offer(value);
      },
    };
  }

  #greet({ node, status, nodesDigest }: Greeting): GreetingAnswer {
    const { self, directory, greeter, configuration, view, keeper } = this.#options;
    directory.hear(node, status);
    const { digest } = directory;
    const nodes = directory.all().map((known) => known.node);
    return {
      node: self,
      nodes: digest === nodesDigest ? undefined : nodes,
      leader: keeper?.member.leader ?? greeter.leader,
      configurationVersion: configuration.number,
      viewEpoch: view.number,
      confirms: keeper?.member.serves ?? false,
    };
  }

  /** Tells all known processes at once; whoever misses it learns of it by its next greeting. */
  #announce(name: 'cluster.configured', value: VersionedConfiguration): void;
  #announce(name: 'cluster.viewed', value: StoreView): void;
  #announce(
    name: 'cluster.configured' | 'cluster.viewed',
    value: VersionedConfiguration | StoreView,
  ): void {
    const { directory, peers, self } = this.#options;
    for (const { node } of directory.all()) {
      if (node.name === self.name) continue;
      if (name === 'cluster.configured') {
        peers.cast(node.address, name, value as VersionedConfiguration);
      } else {
        peers.cast(node.address, name, value as StoreView);
      }
    }
  }

  async #found(): Promise<void> {
    const { keeper, founding, greeter } = this.#options;
    const known = keeper?.member.leader ?? greeter.leader;
    if (known === undefined && keeper?.member.isNew === true) await founding.ask();
  }
}

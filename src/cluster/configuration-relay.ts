import type { RpcClient } from '../rpc';
import type { ClusterContract, VersionedConfiguration } from './contract';
import type { NodeDirectory } from './directory';
import type { KnownNode, NodeInfo } from './node';

/** Time without a heartbeat after which a host is not expected to relay. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 2000;

export interface ConfigurationRelayOptions {
  readonly self: NodeInfo;
  readonly directory: NodeDirectory;
  readonly peers: RpcClient<ClusterContract>;
  /** Whether this process leads the cluster state. */
  readonly isLeader: () => boolean;
  /** Names of the hosts that receive the log, and with it each configuration; called if it leads. */
  readonly memberHosts: () => readonly string[];
}

/**
 * Distributes a configuration from the hosts with a replica, which receive it with the log: each sends
 * it to its share of the other processes, in its own availability zone where it can, so that no link
 * carries it to all of them. A process that misses it catches up at its next heartbeat.
 */
export class ConfigurationRelay {
  readonly #options: ConfigurationRelayOptions;

  constructor(options: ConfigurationRelayOptions) {
    this.#options = options;
  }

  send(configuration: VersionedConfiguration): void {
    const { peers } = this.#options;
    for (const { address } of this.#receivers(configuration.version)) {
      peers.cast(address, 'cluster.configured', configuration);
    }
  }

  #receivers(version: number): readonly NodeInfo[] {
    const { self, directory } = this.#options;
    const known = directory.all().filter(({ node }) => node.name !== self.name);
    const share = this.#shareOf(known.map(({ node }) => node));
    return known
      .filter((candidate) => share.has(candidate.node.name) && this.#mayLack(candidate, version))
      .map(({ node }) => node);
  }

  #mayLack({ status }: KnownNode, version: number): boolean {
    return status === undefined ? this.#options.isLeader() : status.configurationVersion < version;
  }

  /** Names of the processes that this one sends a configuration to. */
  #shareOf(nodes: readonly NodeInfo[]): ReadonlySet<string> {
    const { self, isLeader } = this.#options;
    const relays = this.#relays();
    const others = nodes.filter(({ keepsClusterState }) => !keepsClusterState);
    const zones = new Set(others.map(({ availabilityZone }) => availabilityZone));
    const share = [...zones].flatMap((zone) => {
      const receivers = others.filter(({ availabilityZone }) => availabilityZone === zone);
      return shareIn(zone, sortByName(receivers), relays, self);
    });
    const withoutLog = isLeader() ? this.#hostsWithoutLog(nodes) : [];
    return new Set([...share, ...withoutLog].map(({ name }) => name));
  }

  /** Hosts that keep the cluster state, but do not receive the log at present. */
  #hostsWithoutLog(nodes: readonly NodeInfo[]): readonly NodeInfo[] {
    const members = this.#options.memberHosts();
    return nodes.filter(
      ({ keepsClusterState, name }) => keepsClusterState && !members.includes(name),
    );
  }

  /** This host and the other ones that keep the cluster state, by name. */
  #relays(): readonly NodeInfo[] {
    const { self, directory } = this.#options;
    const others = directory
      .withHeartbeatWithin(HEARTBEAT_TIMEOUT_MILLISECONDS)
      .map(({ node }) => node)
      .filter(({ keepsClusterState, name }) => keepsClusterState && name !== self.name);
    return sortByName([self, ...others]);
  }
}

/** Divides the receivers of a zone between its relays, or between all if it has none. */
function shareIn(
  zone: string,
  receivers: readonly NodeInfo[],
  relays: readonly NodeInfo[],
  self: NodeInfo,
): readonly NodeInfo[] {
  const near = relays.filter(({ availabilityZone }) => availabilityZone === zone);
  const candidates = near.length > 0 ? near : relays;
  const position = candidates.findIndex(({ name }) => name === self.name);
  return receivers.filter((_, index) => index % candidates.length === position);
}

function sortByName(nodes: readonly NodeInfo[]): readonly NodeInfo[] {
  return [...nodes].sort((left, right) => (left.name < right.name ? -1 : 1));
}

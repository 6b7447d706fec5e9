import type { NodeDirectory, NodeInfo } from '../cluster';
import type { RpcClient, RpcContract } from '../rpc';

export interface CoordinatorOptions {
  readonly self: NodeInfo;
  readonly directory: Pick<NodeDirectory, 'ofKind'>;
  readonly peers: Pick<RpcClient<RpcContract>, 'isConnected'>;
  /** Names of gateways that are not eligible. */
  readonly excluded?: ReadonlySet<string>;
}

/**
 * Selects the gateway that coordinates the others: the first by name of the connected ones that
 * have a replica of the cluster state, since every process connects to these. This is no leader
 * election: gateways with different connections may select different coordinators, so correctness
 * must not depend on it.
 */
export function selectCoordinator(options: CoordinatorOptions): NodeInfo {
  const { self, directory, peers, excluded } = options;
  const [first] = directory
    .ofKind('gateway')
    .map(({ node }) => node)
    .filter(({ keepsClusterState, address, name }) => {
      const isEligible = name !== self.name && excluded?.has(name) !== true;
      return keepsClusterState && isEligible && peers.isConnected(address);
    })
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  if (first === undefined) return self;
  return self.keepsClusterState && self.name < first.name ? self : first;
}

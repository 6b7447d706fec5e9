import type { NodeDirectory, NodeInfo } from '../cluster';
import type { Caller, Contract } from '../link';

export interface CoordinatorOptions {
  readonly self: NodeInfo;
  readonly directory: Pick<NodeDirectory, 'ofKind'>;
  readonly peers: Pick<Caller<Contract>, 'isConnected'>;
  /** Names of gateways that are passed over. */
  readonly without?: ReadonlySet<string>;
}

/**
 * The gateway that does for all what one should do: the first by name of those that keep the
 * cluster's state, to which every process has a connection. Gateways that reach different ones may
 * differ in it, so nothing that must be unique rests on it.
 */
export function pickCoordinator(options: CoordinatorOptions): NodeInfo {
  const { self, directory, peers, without } = options;
  const [first] = directory
    .ofKind('gateway')
    .map(({ node }) => node)
    .filter(({ keepsClusterState, address, name }) => {
      const isOther = name !== self.name && without?.has(name) !== true;
      return keepsClusterState && isOther && peers.isConnected(address);
    })
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  if (first === undefined) return self;
  return self.keepsClusterState && self.name < first.name ? self : first;
}

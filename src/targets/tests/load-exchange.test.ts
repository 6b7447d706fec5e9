import { NodeDirectory, type NodeInfo } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { LoadContract } from '..';
import { CoordinatorSelector, LoadExchange, TargetDirectory } from '..';

/** Gateways in one process; messages arrive immediately unless sender or receiver is suspended. */
class GatewayGroup {
  readonly clock = new ManualClock();
  readonly suspended = new Set<string>();
  readonly #gateways = new Map<string, { targets: TargetDirectory; loads: LoadExchange }>();
  messages = 0;

  constructor(names: readonly string[]) {
    const nodes = names.map(describeGateway);
    for (const self of nodes) this.#add(self, nodes);
  }

  #add(self: NodeInfo, nodes: readonly NodeInfo[]): void {
    const { clock } = this;
    const shared = { clock, logger: createSilentLogger(), metrics: new Metrics() };
    const directory = new NodeDirectory(clock);
    for (const node of nodes) directory.recordReport(node);
    const source = { list: () => Promise.resolve([]) };
    const targets = new TargetDirectory({ ...shared, source, random: new SeededRandom(1) });
    targets.update([
      { id: 't', service: 's', address: 't', availabilityZone: 'a', slots: 8, draining: false },
    ]);
    const cast = <Name extends keyof LoadContract['casts']>(
      to: string,
      name: Name,
      body: LoadContract['casts'][Name],
    ) => {
      this.messages += 1;
      if (this.suspended.has(to) || this.suspended.has(self.name)) return;
      this.#gateways.get(to)?.loads.casts[name]?.(body);
    };
    const peers = { cast, isConnected: () => true };
    const coordinators = new CoordinatorSelector({ ...shared, self, directory, peers });
    const loads = new LoadExchange({ ...shared, self, directory, targets, coordinators, peers });
    this.#gateways.set(self.name, { targets, loads });
  }

  start(): void {
    for (const { loads } of this.#gateways.values()) loads.start();
  }

  stop(): void {
    for (const { loads } of this.#gateways.values()) loads.stop();
  }

  setLoad(gateway: string, requests: number): void {
    const state = this.#gateways.get(gateway)?.targets.get('t');
    if (state !== undefined) state.inFlight = requests;
  }

  loadFromOthers(gateway: string): number | undefined {
    return this.#gateways.get(gateway)?.targets.get('t')?.inFlightFromOthers;
  }
}

function describeGateway(name: string): NodeInfo {
  return {
    name,
    kind: 'gateway',
    address: name,
    availabilityZone: 'a',
    keepsClusterState: name !== 'd',
    run: name,
    dataLife: '',
  };
}

describe('load exchange through a coordinator', () => {
  let group: GatewayGroup;

  beforeEach(() => {
    group = new GatewayGroup(['a', 'b', 'c', 'd']);
    group.start();
    group.setLoad('a', 1);
    group.setLoad('b', 2);
    group.setLoad('c', 3);
    group.setLoad('d', 4);
    group.clock.advance(50);
  });

  afterEach(() => {
    group.stop();
  });

  const loadsFromOthers = () => ['a', 'b', 'c', 'd'].map((name) => group.loadFromOthers(name));

  it('sends each gateway the sum of all others within two intervals', () => {
    expect(loadsFromOthers()).toEqual([9, 8, 7, 6]);
  });

  it('sends changed loads', () => {
    group.setLoad('d', 0);
    group.clock.advance(50);
    expect(loadsFromOthers()).toEqual([5, 4, 3, 6]);
  });

  it('sends few messages while the loads are unchanged', () => {
    group.messages = 0;
    group.clock.advance(1000);
    // Three gateways and the coordinator resend their reports five times.
    expect(group.messages).toBeLessThanOrEqual(30);
  });

  it('switches to the next gateway when the coordinator is suspended', () => {
    group.suspended.add('a');
    group.setLoad('d', 7);
    group.clock.advance(1000);
    expect(group.loadFromOthers('b')).toBe(10);
    expect(group.loadFromOthers('d')).toBe(5);
  });

  it('expires the loads of a gateway that sends no reports', () => {
    group.suspended.add('d');
    group.clock.advance(2000);
    expect(group.loadFromOthers('b')).toBe(4);
  });
});

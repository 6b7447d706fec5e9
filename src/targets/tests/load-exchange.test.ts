import { NodeDirectory, type NodeInfo } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { LoadContract } from '..';
import { LoadExchange, TargetDirectory } from '..';

/** Gateways in one process, whose messages arrive at once unless their receiver is frozen. */
class GatewayGroup {
  readonly clock = new ManualClock();
  readonly frozen = new Set<string>();
  readonly #gateways = new Map<string, { targets: TargetDirectory; loads: LoadExchange }>();
  messages = 0;

  constructor(names: readonly string[]) {
    const nodes = names.map(describeGateway);
    for (const self of nodes) this.#add(self, nodes);
  }

  #add(self: NodeInfo, nodes: readonly NodeInfo[]): void {
    const { clock } = this;
    const parts = { clock, logger: createSilentLogger(), metrics: new Metrics() };
    const directory = new NodeDirectory(clock);
    for (const node of nodes) directory.learn(node);
    const source = { list: () => Promise.resolve([]) };
    const targets = new TargetDirectory({ ...parts, source, random: new SeededRandom(1) });
    targets.take([
      { id: 't', service: 's', address: 't', availabilityZone: 'a', slots: 8, draining: false },
    ]);
    const cast = <Name extends keyof LoadContract['casts']>(
      to: string,
      name: Name,
      body: LoadContract['casts'][Name],
    ) => {
      this.messages += 1;
      if (this.frozen.has(to) || this.frozen.has(self.name)) return;
      this.#gateways.get(to)?.loads.casts[name]?.(body);
    };
    const peers = { cast, isConnected: () => true };
    const loads = new LoadExchange({ ...parts, self, directory, targets, peers });
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

  loadElsewhere(gateway: string): number | undefined {
    return this.#gateways.get(gateway)?.targets.get('t')?.inFlightElsewhere;
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

describe('loads that gateways tell through a coordinator', () => {
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

  const elsewhere = () => ['a', 'b', 'c', 'd'].map((name) => group.loadElsewhere(name));

  it('reach each gateway within two pauses, as the sum of all others', () => {
    expect(elsewhere()).toEqual([9, 8, 7, 6]);
  });

  it('follow what changes', () => {
    group.setLoad('d', 0);
    group.clock.advance(50);
    expect(elsewhere()).toEqual([5, 4, 3, 6]);
  });

  it('cost few messages while nothing changes', () => {
    group.messages = 0;
    group.clock.advance(1000);
    // Three gateways and their coordinator repeat what they said five times.
    expect(group.messages).toBeLessThanOrEqual(30);
  });

  it('go through the next gateway soon where the coordinator is frozen', () => {
    group.frozen.add('a');
    group.setLoad('d', 7);
    group.clock.advance(1000);
    expect(group.loadElsewhere('b')).toBe(10);
    expect(group.loadElsewhere('d')).toBe(5);
  });

  it('of a gateway that is silent for long count no more', () => {
    group.frozen.add('d');
    group.clock.advance(2000);
    expect(group.loadElsewhere('b')).toBe(4);
  });
});

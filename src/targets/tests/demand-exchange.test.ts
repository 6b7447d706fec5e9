import { NodeDirectory, type NodeInfo } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import {
  CoordinatorSelector,
  type DemandContract,
  type DemandEntry,
  DemandExchange,
  EngineDemandTracker,
  type LoadContract,
  LoadExchange,
  TargetDirectory,
} from '..';

const SLOTS = 10;

interface Contract {
  readonly calls: LoadContract['calls'];
  readonly casts: LoadContract['casts'] & DemandContract['casts'];
}

interface FakeGateway {
  readonly tracker: EngineDemandTracker;
  readonly loads: LoadExchange;
  readonly demand: DemandExchange;
}

/** Gateways in one process; messages arrive immediately unless sender or receiver is cut off. */
class GatewayGroup {
  readonly clock = new ManualClock();
  /** Suspended or partitioned: the connections stay open and nothing arrives. */
  readonly cutOff = new Set<string>();
  /** Stopped: the connections are closed. */
  readonly dead = new Set<string>();
  /** Names of demand messages sent, with sender and receiver. */
  readonly messages: string[] = [];
  requestsAtEngines = SLOTS;
  hasTeams = true;
  readonly #gateways = new Map<string, FakeGateway>();

  constructor(names: readonly string[]) {
    const nodes = names.map(describeGateway);
    for (const self of nodes) this.#add(self, nodes);
    for (const { loads, demand } of this.#gateways.values()) {
      loads.start();
      demand.start();
    }
  }

  stop(): void {
    for (const name of this.#gateways.keys()) this.#stopGateway(name);
  }

  kill(name: string): void {
    this.dead.add(name);
    this.#stopGateway(name);
  }

  /** Starts requests of a team; returns a function that ends them. */
  begin(gateway: string, team: string, priority: number, requests: number): () => void {
    const ends = Array.from({ length: requests }, () =>
      this.#get(gateway).tracker.begin(team, priority),
    );
    return () => {
      for (const end of ends) end();
    };
  }

  totalsAt(gateway: string) {
    const entries = this.#get(gateway).demand.current()?.entries;
    return entries === undefined ? undefined : [...entries].sort();
  }

  deliverTotal(receiver: string, coordinator: string, entries: readonly DemandEntry[]): void {
    this.#get(receiver).demand.casts['targets.demand-total']?.({ coordinator, entries });
  }

  ageAt(gateway: string): number | undefined {
    return this.#get(gateway).demand.current()?.ageMilliseconds;
  }

  #get(name: string): FakeGateway {
    const gateway = this.#gateways.get(name);
    if (gateway === undefined) throw new Error(`unknown gateway ${name}`);
    return gateway;
  }

  #stopGateway(name: string): void {
    this.#get(name).loads.stop();
    this.#get(name).demand.stop();
  }

  #add(self: NodeInfo, nodes: readonly NodeInfo[]): void {
    const { clock } = this;
    const shared = { clock, logger: createSilentLogger(), metrics: new Metrics() };
    const directory = new NodeDirectory(clock);
    for (const node of nodes) directory.recordHeartbeat(node, STATUS);
    const source = { list: () => Promise.resolve([]) };
    const targets = new TargetDirectory({ ...shared, source, random: new SeededRandom(1) });
    const peers = {
      cast: <Name extends keyof Contract['casts']>(
        to: string,
        name: Name,
        body: Contract['casts'][Name],
      ) => {
        if (name.startsWith('targets.demand')) this.messages.push(`${name} ${self.name}>${to}`);
        if ([to, self.name].some((end) => this.cutOff.has(end) || this.dead.has(end))) return;
        const receiver = this.#get(to);
        const handlers = { ...receiver.loads.casts, ...receiver.demand.casts };
        (handlers[name] as ((body: unknown) => void) | undefined)?.(body);
      },
      isConnected: (address: string) => !this.dead.has(address),
    };
    const coordinators = new CoordinatorSelector({ ...shared, self, directory, peers });
    const loads = new LoadExchange({ ...shared, self, directory, targets, coordinators, peers });
    const tracker = new EngineDemandTracker();
    const engines = () =>
      this.hasTeams ? { load: this.requestsAtEngines, slots: SLOTS } : undefined;
    const demandOptions = { self, directory, coordinators, peers, tracker, engines, clock };
    this.#gateways.set(self.name, { tracker, loads, demand: new DemandExchange(demandOptions) });
  }
}

const STATUS = { configurationVersion: 1, viewEpoch: 1, completeFor: 0 };

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

describe('EngineDemandTracker', () => {
  it('counts requests by team and priority until they end', () => {
    const tracker = new EngineDemandTracker();
    const end = tracker.begin('red', 3);
    tracker.begin('red', 3);
    tracker.begin('red', 4);
    tracker.begin('blue', 3);
    end();
    expect(tracker.entries()).toEqual([
      ['red', 3, 1],
      ['red', 4, 1],
      ['blue', 3, 1],
    ]);
  });

  it('has no entry for a team without requests, and counts an end once', () => {
    const tracker = new EngineDemandTracker();
    const end = tracker.begin('red', 3);
    end();
    end();
    expect(tracker.entries()).toEqual([]);
  });
});

describe('DemandExchange', () => {
  /** Interval of four gateways. */
  const INTERVAL = 208;
  let group: GatewayGroup;

  beforeEach(() => {
    group = new GatewayGroup(['a', 'b', 'c', 'd']);
    group.begin('a', 'red', 3, 1);
    group.begin('b', 'red', 3, 2);
    group.begin('d', 'red', 4, 4);
  });

  afterEach(() => {
    group.stop();
  });

  const TOTALS = [
    ['red', 3, 3],
    ['red', 4, 4],
  ];

  describe('while the engines are contended', () => {
    it('sends the totals to every gateway within two intervals, also to one without demand', () => {
      group.clock.advance(2 * INTERVAL + 1);
      for (const name of ['a', 'b', 'c', 'd']) expect(group.totalsAt(name)).toEqual(TOTALS);
    });

    it('states the age of the totals', () => {
      group.clock.advance(2 * INTERVAL);
      const age = group.ageAt('d');
      group.clock.advance(20);
      expect(group.ageAt('d')).toBe((age ?? 0) + 20);
    });

    it('sends unchanged reports and totals every 600 ms only', () => {
      group.clock.advance(1000);
      group.messages.length = 0;
      group.clock.advance(10 * 4 * INTERVAL);
      // Of every four intervals, each report and each of the three totals is sent in one or two.
      expect(group.messages.length).toBeLessThanOrEqual(20 * 5);
      expect(group.messages.length).toBeGreaterThanOrEqual(10 * 5);
      expect(group.totalsAt('d')).toEqual(TOTALS);
    });

    it('sends at most one report and one total per interval and gateway when demand changes', () => {
      group.clock.advance(1000);
      group.messages.length = 0;
      for (let elapsed = 0; elapsed < 30 * INTERVAL; elapsed += 13) {
        group.begin('b', 'red', 3, 1);
        group.clock.advance(13);
      }
      expect(group.messages.length).toBeLessThanOrEqual(31 * 5);
    });
  });

  describe('while the engines are less than 70% busy, or without teams', () => {
    it('sends nothing and knows no totals', () => {
      group.requestsAtEngines = 0.69 * SLOTS;
      group.clock.advance(2000);
      expect(group.messages).toEqual([]);
      expect(group.totalsAt('a')).toBeUndefined();
    });

    it('sends nothing without teams', () => {
      group.hasTeams = false;
      group.clock.advance(2000);
      expect(group.messages).toEqual([]);
      expect(group.totalsAt('b')).toBeUndefined();
    });

    it('ends the demand with one empty report of each gateway', () => {
      group.clock.advance(1000);
      group.requestsAtEngines = 0;
      group.messages.length = 0;
      group.clock.advance(4000);
      const reports = group.messages.filter((message) => message.startsWith('targets.demand '));
      expect(reports.sort()).toEqual(['targets.demand b>a', 'targets.demand d>a']);
      expect(group.messages.length).toBeLessThanOrEqual(2 + 2 * 3);
      expect(group.totalsAt('d')).toBeUndefined();
    });

    it('forgets the totals within an interval after the load has dropped', () => {
      group.clock.advance(1000);
      group.requestsAtEngines = 0;
      group.clock.advance(INTERVAL);
      expect(group.totalsAt('c')).toBeUndefined();
    });
  });

  describe('when a process or link fails', () => {
    beforeEach(() => {
      group.clock.advance(1000);
    });

    it.each(['is dead', 'is frozen or partitioned'])(
      'expires the totals after 1500 ms and takes those of the next coordinator if the first %s',
      (failure) => {
        if (failure === 'is dead') group.kill('a');
        else group.cutOff.add('a');
        group.clock.advance(1600);
        expect(group.totalsAt('d')).toEqual([
          ['red', 3, 2],
          ['red', 4, 4],
        ]);
      },
    );

    it('knows no totals after 1500 ms if no coordinator can be reached', () => {
      for (const name of ['a', 'b', 'c']) group.cutOff.add(name);
      group.clock.advance(1500);
      expect(group.totalsAt('d')).toBeUndefined();
    });

    it('expires the part of a gateway that is cut off', () => {
      group.cutOff.add('d');
      group.clock.advance(1500 + 2 * INTERVAL);
      expect(group.totalsAt('b')).toEqual([['red', 3, 3]]);
    });

    it('takes the totals of the first coordinator again after it has returned', () => {
      group.cutOff.add('a');
      group.clock.advance(1600);
      group.cutOff.delete('a');
      group.clock.advance(3000);
      for (const name of ['a', 'b', 'c', 'd']) expect(group.totalsAt(name)).toEqual(TOTALS);
    });

    it('ignores totals of a coordinator that it has not selected', () => {
      group.cutOff.add('a');
      group.clock.advance(1000);
      const before = group.totalsAt('d');
      group.deliverTotal('d', 'c', [['blue', 0, 99]]);
      expect(group.totalsAt('d')).toEqual(before);
    });
  });
});

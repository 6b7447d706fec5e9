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

export const ENGINE_SLOTS = 10;

interface Contract {
  readonly calls: LoadContract['calls'];
  readonly casts: LoadContract['casts'] & DemandContract['casts'];
}

interface FakeGateway {
  readonly targets: TargetDirectory;
  readonly tracker: EngineDemandTracker;
  readonly loads: LoadExchange;
  readonly demand: DemandExchange;
}

/** Gateways in one process; messages arrive immediately unless sender or receiver is cut off. */
export class GatewayGroup {
  readonly clock = new ManualClock();
  /** Suspended or partitioned: the connections stay open and nothing arrives. */
  readonly cutOff = new Set<string>();
  /** Stopped: the connections are closed. */
  readonly dead = new Set<string>();
  /** Names of the messages sent, with sender and receiver. */
  readonly messages: string[] = [];
  requestsAtEngines = ENGINE_SLOTS;
  hasTeams = true;
  readonly #nodes: readonly NodeInfo[];
  readonly #gateways = new Map<string, FakeGateway>();

  constructor(names: readonly string[]) {
    this.#nodes = names.map(describeGateway);
    for (const self of this.#nodes) this.#start(self);
  }

  stop(): void {
    for (const name of this.#gateways.keys()) this.#stopGateway(name);
  }

  kill(name: string): void {
    this.dead.add(name);
    this.#stopGateway(name);
  }

  /** Starts a killed gateway again, without its former state. */
  restart(name: string): void {
    this.dead.delete(name);
    for (const self of this.#nodes) if (self.name === name) this.#start(self);
  }

  demandMessages(): readonly string[] {
    return this.messages.filter((message) => message.startsWith('targets.demand'));
  }

  /** Sets the requests in flight from a gateway at the target `t`. */
  setLoad(gateway: string, requests: number): void {
    const state = this.#get(gateway).targets.get('t');
    if (state !== undefined) state.inFlight = requests;
  }

  loadFromOthers(gateway: string): number | undefined {
    return this.#get(gateway).targets.get('t')?.inFlightFromOthers;
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

  #start(self: NodeInfo): void {
    const { clock } = this;
    const shared = { clock, logger: createSilentLogger(), metrics: new Metrics() };
    const directory = new NodeDirectory(clock);
    for (const node of this.#nodes) directory.recordHeartbeat(node, STATUS);
    const source = { list: () => Promise.resolve([]) };
    const targets = new TargetDirectory({ ...shared, source, random: new SeededRandom(1) });
    targets.update([
      { id: 't', service: 's', address: 't', availabilityZone: 'a', slots: 8, draining: false },
    ]);
    const peers = {
      cast: <Name extends keyof Contract['casts']>(
        to: string,
        name: Name,
        body: Contract['casts'][Name],
      ) => {
        this.messages.push(`${name} ${self.name}>${to}`);
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
      this.hasTeams ? { load: this.requestsAtEngines, slots: ENGINE_SLOTS } : undefined;
    const demandOptions = { self, directory, coordinators, peers, tracker, engines, clock };
    const demand = new DemandExchange(demandOptions);
    this.#gateways.set(self.name, { targets, tracker, loads, demand });
    loads.start();
    demand.start();
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

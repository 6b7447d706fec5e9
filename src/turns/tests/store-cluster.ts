import { type KnownNode, LatestValue, type StoreView, planView } from '../../cluster';
import { type Logger, Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/disk';
import { ChainCache, Filler, TurnClient, type TurnContract, TurnJournal, TurnStore } from '..';

const FOLDER = '/turns';

type AnyHandler = (request: unknown) => unknown;

/** A message on its way: a call, its answer or a cast. */
interface Message {
  readonly from: string;
  readonly to: string;
  readonly deliver: () => void;
}

interface Host {
  readonly name: string;
  readonly disk: MemoryDisk;
  alive: boolean;
  run: number;
  journal: TurnJournal;
  view: LatestValue<StoreView>;
  calls: Readonly<Record<string, AnyHandler>>;
  casts: Readonly<Record<string, (body: unknown) => void>>;
}

/** Lets everything go on that waits for nothing but the event loop. */
export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Stores, and clients that reach them, in one process: messages are delivered in any order, lost
 * with a cut, and hosts lose power or their disks. The stores in use are planned as the cluster's
 * leader plans them.
 */
export class StoreCluster {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly #logger: Logger = createSilentLogger();
  readonly #hosts = new Map<string, Host>();
  readonly #tolerated: number;
  #messages: Message[] = [];
  #cut = new Set<string>();
  #planned: StoreView | undefined;

  constructor(seed: number, tolerated: number) {
    this.random = new SeededRandom(seed);
    this.#tolerated = tolerated;
  }

  async addHost(name: string): Promise<void> {
    const disk = new MemoryDisk();
    const host: Host = {
      name,
      disk,
      alive: true,
      run: 0,
      journal: new TurnJournal(new SegmentedStore({ folder: FOLDER }), this.random),
      view: newestView(),
      calls: {},
      casts: {},
    };
    this.#hosts.set(name, host);
    await this.start(name);
  }

  /** Starts a host's process on what its disk holds. */
  async start(name: string): Promise<void> {
    const host = this.#host(name);
    const fileSystem = host.disk.mount();
    const journal = new TurnJournal(
      new SegmentedStore({ folder: FOLDER, fileSystem }),
      this.random,
    );
    await journal.open();
    host.run += 1;
    host.alive = true;
    host.journal = journal;
    host.view = newestView();
    const parts = { self: name, journal, clock: this.clock, logger: this.#logger };
    const filler = new Filler({ ...parts, peers: this.caller(name), random: this.random });
    const metrics = new Metrics();
    const store = new TurnStore({ ...parts, filler, view: host.view, metrics });
    host.calls = store.calls as Host['calls'];
    host.casts = store.casts as Host['casts'];
    store.start();
  }

  /** Ends a host's process and takes its power, and its disk as well if asked to. */
  stop(name: string, wipes: boolean): void {
    const host = this.#host(name);
    host.alive = false;
    if (wipes) {
      host.disk.wipe();
      host.journal = new TurnJournal(new SegmentedStore({ folder: FOLDER }), this.random);
    } else host.disk.crash(this.random);
    this.#messages = this.#messages.filter(({ from, to }) => from !== name && to !== name);
  }

  /** Cuts a host off from all others; what is on its way is lost. */
  cut(name: string): void {
    this.#cut.add(name);
  }

  heal(): void {
    this.#cut.clear();
  }

  isAlive(name: string): boolean {
    return this.#host(name).alive;
  }

  get names(): readonly string[] {
    return [...this.#hosts.keys()];
  }

  /** Members of the view that do not hold everything, those without a disk included. */
  get incomplete(): number {
    const members = this.#planned?.members ?? [];
    return members.filter(({ name, joined, dataLife }) => {
      const { journal } = this.#host(name);
      return journal.dataLife !== dataLife || journal.completeFor !== joined;
    }).length;
  }

  /** Whether every member of the view is there and holds everything. */
  get isWhole(): boolean {
    const members = this.#planned?.members ?? [];
    return this.incomplete === 0 && members.every(({ name }) => this.#host(name).alive);
  }

  /** Plans the stores in use once, and tells everyone who is reached. */
  plan(clients: readonly LatestValue<StoreView>[], silenceCounts: boolean): void {
    const step = planView({
      view: this.#planned,
      toleratedLosses: this.#tolerated,
      stores: [...this.#hosts.values()].filter(({ alive }) => alive).map(describe),
      retirements: new Map(),
      failureDetectionActive: silenceCounts,
    });
    if (step?.kind === 'view') this.#planned = step.view;
    const view = this.#planned;
    if (view === undefined) return;
    for (const host of this.#hosts.values()) {
      if (host.alive && !this.#cut.has(host.name)) host.view.offer(view);
    }
    for (const client of clients) {
      if (this.random.fraction() < 0.5) client.offer(view);
    }
  }

  createClient(name: string): {
    readonly turns: TurnClient;
    readonly view: LatestValue<StoreView>;
  } {
    const view = newestView();
    const turns = new TurnClient({
      availabilityZone: 'a',
      view,
      cache: new ChainCache(0),
      watch: { noteSuccess: () => undefined },
      peers: this.caller(name),
      clock: this.clock,
      logger: this.#logger,
      metrics: new Metrics(),
    });
    return { turns, view };
  }

  /** Delivers one message, whichever; returns whether there was one. */
  deliverAny(): boolean {
    const index = Math.floor(this.random.fraction() * this.#messages.length);
    const [message] = this.#messages.splice(index, 1);
    message?.deliver();
    return message !== undefined;
  }

  caller(from: string): RpcClient<TurnContract> {
    const calls = (to: string, name: string, body: unknown, milliseconds: number) =>
      new Promise<unknown>((resolve, reject) => {
        this.clock.after(milliseconds, () => {
          reject(new Error('no answer in time'));
        });
        this.#send(from, to, () => {
          const run = this.#host(to).run;
          void Promise.resolve(this.#host(to).calls[name]?.(body)).then(
            (answer) => {
              if (!this.#host(to).alive || this.#host(to).run !== run) return;
              this.#send(to, from, () => {
                resolve(answer);
              });
            },
            () => undefined,
          );
        });
      });
    return {
      call: calls as RpcClient<TurnContract>['call'],
      cast: (to, name, body) => {
        this.#send(from, to, () => this.#host(to).casts[name]?.(body));
      },
      isConnected: () => true,
    };
  }

  #send(from: string, to: string, act: () => void): void {
    this.#messages.push({
      from,
      to,
      deliver: () => {
        const target = this.#hosts.get(to);
        if (target?.alive === false || this.#cut.has(from) || this.#cut.has(to)) return;
        act();
      },
    });
  }

  #host(name: string): Host {
    const host = this.#hosts.get(name);
    if (host === undefined) throw new Error(`no host ${name}`);
    return host;
  }
}

function newestView(): LatestValue<StoreView> {
  return new LatestValue<StoreView>(({ epoch }) => epoch);
}

function describe({ name, journal, view }: Host): KnownNode {
  return {
    node: {
      name,
      kind: 'store',
      address: name,
      availabilityZone: name,
      keepsClusterState: false,
      run: '',
      dataLife: journal.dataLife,
    },
    status: {
      configurationVersion: 0,
      viewEpoch: view.version,
      completeFor: journal.completeFor,
    },
    lastSeenAt: 0,
  };
}

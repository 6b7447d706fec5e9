import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { ConfirmingRpcClient } from '../../rpc';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import {
  Backfill,
  ChainCache,
  TurnClient,
  type TurnContract,
  TurnJournal,
  type TurnRecord,
  TurnStore,
} from '..';
import { flushEventLoop } from './simulated-cluster';

const FOLDER = '/turns';

/** Rounds of the event loop that cover a call, its disk writes and the calls that follow. */
const SETTLING_ROUNDS = 30;

const SETTLING_STEP_MILLISECONDS = 10;

interface RunningStore {
  readonly journal: TurnJournal;
  readonly view: LatestValue<StoreView>;
  readonly calls: Readonly<Record<string, ((request: unknown) => unknown) | undefined>>;
}

/** Stores and clients in one process, with views offered one by one and links that can be cut. */
export class StoreGroup {
  readonly clock: ManualClock;
  readonly #random = new SeededRandom(1);
  readonly #logger = createSilentLogger();
  readonly #disks = new Map<string, MemoryDisk>();
  readonly #stores = new Map<string, RunningStore>();
  readonly #unreachable = new Map<string, ReadonlySet<string>>();

  constructor(clock = new ManualClock()) {
    this.clock = clock;
  }

  /** Starts a store from the content of its disk, which is empty at first. */
  async start(name: string): Promise<void> {
    const disk = this.disk(name);
    const records = new SegmentedStore({ folder: FOLDER, fileSystem: disk.mount() });
    const journal = new TurnJournal(records, this.#random);
    await journal.open();
    const view = new LatestValue<StoreView>(({ epoch }) => epoch);
    const options = { self: name, journal, clock: this.clock, logger: this.#logger };
    const backfill = new Backfill({ ...options, peers: this.peers(name), random: this.#random });
    const store = new TurnStore({ ...options, backfill, view, metrics: new Metrics() });
    this.#stores.set(name, { journal, view, calls: store.calls as RunningStore['calls'] });
    store.start();
  }

  disk(name: string): MemoryDisk {
    const disk = this.#disks.get(name) ?? new MemoryDisk();
    this.#disks.set(name, disk);
    return disk;
  }

  store(name: string): RunningStore {
    const store = this.#stores.get(name);
    if (store === undefined) throw new Error(`store ${name} does not run`);
    return store;
  }

  /** A view of running stores; `joined` lists the epochs of those that joined after the first. */
  viewOf(
    epoch: number,
    names: readonly string[],
    joined: Readonly<Record<string, number>> = {},
  ): StoreView {
    const members = names.map((name) => ({
      name,
      address: name,
      availabilityZone: name,
      dataLife: this.store(name).journal.dataLife,
      joined: joined[name] ?? 1,
    }));
    return { epoch, members, quorum: Math.floor(names.length / 2) + 1 };
  }

  async offer(view: StoreView, names: readonly string[]): Promise<void> {
    for (const name of names) this.store(name).view.offer(view);
    await this.settle();
  }

  /** Lets calls of `from` to the named stores fail. */
  cut(from: string, names: readonly string[]): void {
    this.#unreachable.set(from, new Set(names));
  }

  /** Calls `action` before each answer of a store to a call is sent. */
  intercept(name: string, method: keyof TurnContract['calls'], action: () => void): void {
    const store = this.store(name);
    const serve = store.calls[method];
    const intercepted = async (request: unknown) => {
      const answer = await serve?.(request);
      action();
      return answer;
    };
    this.#stores.set(name, { ...store, calls: { ...store.calls, [method]: intercepted } });
  }

  client(name: string, view: StoreView | undefined): TurnClient {
    const latest = new LatestValue<StoreView>(({ epoch }) => epoch);
    if (view !== undefined) latest.offer(view);
    return new TurnClient({
      availabilityZone: '',
      view: latest,
      cache: new ChainCache(0),
      quorumMonitor: { recordSuccess: () => undefined },
      peers: this.peers(name),
      clock: this.clock,
      logger: this.#logger,
      metrics: new Metrics(),
    });
  }

  peers(from: string): ConfirmingRpcClient<TurnContract> {
    const call = async (to: string, name: string, request: unknown): Promise<unknown> => {
      if (this.#unreachable.get(from)?.has(to) === true) throw new Error(`${to} is unreachable`);
      const answer = await this.store(to).calls[name]?.(request);
      await flushEventLoop();
      return answer;
    };
    return {
      call: call as ConfirmingRpcClient<TurnContract>['call'],
      cast: () => undefined,
      castConfirmed: () => Promise.resolve(),
      isConnected: () => true,
    };
  }

  /** Runs pending calls and disk writes, and the retries that are due within some rounds. */
  async settle(): Promise<void> {
    for (let round = 0; round < SETTLING_ROUNDS; round += 1) {
      await flushEventLoop();
      this.clock.advance(SETTLING_STEP_MILLISECONDS);
    }
    await flushEventLoop();
  }

  /** Resolves with the outcome of `operation`, for which time advances; errors are values. */
  async outcomeOf<Value>(operation: Promise<Value>): Promise<Value | Error> {
    let outcome: { readonly value: Value | Error } | undefined;
    operation.then(
      (value) => (outcome = { value }),
      (error: unknown) => (outcome = { value: error as Error }),
    );
    const result = () => outcome;
    while (result() === undefined) await this.settle();
    return result()?.value as Value | Error;
  }
}

export function createRecord(id: string, changes: Partial<TurnRecord> = {}): TurnRecord {
  return {
    id,
    program: 'p',
    previous: undefined,
    input: Buffer.from(`${id} in`),
    output: Buffer.from(`${id} out\n`),
    tokens: 4,
    contextTokens: 10,
    endedAt: 0,
    retentionSeconds: 60,
    target: 'e1',
    ...changes,
  };
}

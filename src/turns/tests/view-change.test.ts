import { LatestValue, type StoreView, type ViewMember } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { Backfill, ChainCache, TurnClient, type TurnContract, TurnJournal, TurnStore } from '..';
import { flushEventLoop } from './simulated-cluster';

const RECORD = {
  id: 't1',
  program: 'p',
  previous: undefined,
  input: Buffer.from('in'),
  output: Buffer.from('out\n'),
  tokens: 4,
  contextTokens: 10,
  endedAt: 0,
  retentionSeconds: 60,
  target: 'e1',
};

const STEP_MILLISECONDS = 20;

interface RunningStore {
  readonly view: LatestValue<StoreView>;
  readonly dataLife: string;
  readonly calls: Readonly<Record<string, (body: unknown) => unknown>>;
}

/** Stores whose calls are answered at once; each adopts a view when the test offers it one. */
class Stores {
  readonly clock = new ManualClock();
  readonly #logger = createSilentLogger();
  readonly #random = new SeededRandom(1);
  readonly #stores = new Map<string, RunningStore>();

  async add(name: string): Promise<void> {
    const records = new SegmentedStore({
      folder: '/turns',
      fileSystem: new MemoryDisk().mount(),
    });
    const journal = new TurnJournal(records, this.#random);
    await journal.open();
    const view = createView();
    const options = { self: name, journal, clock: this.clock, logger: this.#logger };
    const backfill = new Backfill({ ...options, peers: this.#peers, random: this.#random });
    const store = new TurnStore({ ...options, backfill, view, metrics: new Metrics() });
    store.start();
    const calls = store.calls as unknown as RunningStore['calls'];
    this.#stores.set(name, { view, dataLife: journal.dataLife, calls });
  }

  member(name: string, joined: number): ViewMember {
    const { dataLife } = this.#store(name);
    return { name, address: name, availabilityZone: name, dataLife, joined };
  }

  async adopt(names: readonly string[], view: StoreView): Promise<void> {
    for (const name of names) this.#store(name).view.offer(view);
    await this.advance(STEP_MILLISECONDS);
  }

  createClient(view: StoreView): TurnClient {
    const latest = createView();
    latest.offer(view);
    return new TurnClient({
      availabilityZone: 'a',
      view: latest,
      cache: new ChainCache(0),
      quorumMonitor: { recordSuccess: () => undefined },
      peers: this.#peers,
      clock: this.clock,
      logger: this.#logger,
      metrics: new Metrics(),
    });
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      for (let turn = 0; turn < 20; turn += 1) await flushEventLoop();
      this.clock.advance(STEP_MILLISECONDS);
    }
  }

  get #peers(): RpcClient<TurnContract> {
    const call = (to: string, name: string, body: unknown) =>
      Promise.resolve(this.#store(to).calls[name]?.(body));
    return {
      call: call as RpcClient<TurnContract>['call'],
      cast: () => undefined,
      isConnected: () => true,
    };
  }

  #store(name: string): RunningStore {
    const store = this.#stores.get(name);
    if (store === undefined) throw new Error(`unknown store ${name}`);
    return store;
  }
}

function createView(): LatestValue<StoreView> {
  return new LatestValue<StoreView>(({ epoch }) => epoch);
}

/** Five stores in the first view; in the second one `s6` has replaced `s1`. */
async function createStores() {
  const stores = new Stores();
  const names = ['s1', 's2', 's3', 's4', 's5'];
  for (const name of [...names, 's6']) await stores.add(name);
  const members = names.map((name) => stores.member(name, 1));
  const first: StoreView = { epoch: 1, members, quorum: 3 };
  const replaced = [...members.slice(1), stores.member('s6', 2)];
  const second: StoreView = { epoch: 2, members: replaced, quorum: 3 };
  await stores.adopt(names, first);
  return { stores, first, second };
}

describe('a view in which a store has been replaced', () => {
  describe('adopted by the new store and too few of the others', () => {
    // The replaced store and the others still form a quorum of the former view.
    it('acknowledges no turn that a gateway with the former view finds absent', async () => {
      const { stores, first, second } = await createStores();
      await stores.adopt(['s6', 's2', 's3'], second);
      const outcomes: string[] = [];
      const deadline = stores.clock.monotonic() + 1000;
      const recording = stores.createClient(second).record(RECORD, deadline);
      recording.then(
        () => outcomes.push('recorded'),
        () => outcomes.push('unavailable'),
      );
      await stores.advance(200);
      const lookup = stores.createClient(first).chain(RECORD.id, RECORD.program, deadline);
      lookup.then(
        ({ kind }) => outcomes.push(kind),
        () => outcomes.push('unknown'),
      );
      await stores.advance(1000);
      expect(outcomes).not.toEqual(['recorded', 'absent']);
    });
  });

  describe('adopted by a quorum of the others as well', () => {
    it('acknowledges turns before the new store is filled', async () => {
      const { stores, second } = await createStores();
      const deadline = stores.clock.monotonic() + 1000;
      await stores.adopt(['s2', 's3', 's4'], second);
      const recorded = stores.createClient(second).record(RECORD, deadline);
      await stores.advance(100);
      await expect(recorded).resolves.toBeUndefined();
    });
  });
});

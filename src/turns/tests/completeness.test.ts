import { LatestValue, type MemberEntry, type StoreView, type ViewMember } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { RpcClient } from '../../rpc';
import type { RecordStore } from '../../storage';
import { Backfill, type TurnContract, TurnJournal, TurnStore } from '..';
import { flushEventLoop } from './simulated-cluster';
import { StoreGroup, createRecord } from './store-group';

const FIRST_MEMBERS = ['s1', 's2', 's3', 's4', 's5'];

const EVERY_STORE = [...FIRST_MEMBERS, 's6', 's7'];

/** Record store whose appends become durable one by one, in order. */
class StepwiseRecords {
  readonly durable: string[] = [];
  readonly #pending: { readonly lines: readonly string[]; readonly resolve: () => void }[] = [];

  get store(): RecordStore {
    return {
      load: () => Promise.resolve({ snapshot: undefined, records: [...this.durable] }),
      append: (lines) =>
        new Promise((resolve) => {
          this.#pending.push({ lines, resolve });
        }),
      compact: () => Promise.resolve(),
      close: () => Promise.resolve(),
    };
  }

  /** Makes the oldest append durable. */
  async step(): Promise<void> {
    await flushEventLoop();
    const next = this.#pending.shift();
    if (next === undefined) throw new Error('no append is pending');
    this.durable.push(...next.lines);
    next.resolve();
    await flushEventLoop();
  }
}

async function openJournal(records: StepwiseRecords): Promise<TurnJournal> {
  const journal = new TurnJournal(records.store, new SeededRandom(1));
  const opened = journal.open();
  if (records.durable.length === 0) await records.step();
  await opened;
  return journal;
}

/** Members that have held their places since the first epoch, and the joining store. */
function viewWith(journal: TurnJournal): StoreView {
  const member = (name: string, dataLife: string, joined: number) => {
    return { name, address: name, availabilityZone: name, dataLife, joined };
  };
  const others = ['s1', 's2', 's3', 's4'].map((name) => member(name, name, 1));
  return { epoch: 2, members: [...others, member('s6', journal.dataLife, 2)], quorum: 3 };
}

/** Peers that are complete and have no rows. */
const EMPTY_PEERS = {
  call: () => Promise.resolve({ kind: 'rows', complete: true, rows: [], final: true }),
  cast: () => undefined,
  isConnected: () => true,
} as unknown as RpcClient<TurnContract>;

function startStore(journal: TurnJournal): TurnStore {
  const clock = new ManualClock();
  const logger = createSilentLogger();
  const options = { self: 's6', journal, clock, logger };
  const random = new SeededRandom(2);
  const backfill = new Backfill({ ...options, peers: EMPTY_PEERS, random });
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const store = new TurnStore({ ...options, backfill, view, metrics: new Metrics() });
  view.offer(viewWith(journal));
  return store;
}

async function startGroup(): Promise<StoreGroup> {
  const group = new StoreGroup();
  for (const name of EVERY_STORE) await group.start(name);
  await group.offer(group.viewOf(1, FIRST_MEMBERS), FIRST_MEMBERS);
  return group;
}

function holder(group: StoreGroup, name: string, joined: number): MemberEntry {
  const { dataLife } = group.store(name).journal;
  return { name, address: name, availabilityZone: name, dataLife, joined };
}

function view(epoch: number, members: readonly ViewMember[]): StoreView {
  return { epoch, members, quorum: 3 };
}

describe('the completeness of a store', () => {
  // Guards against an acknowledgement of which a store that restarts as incomplete knows nothing.
  describe('while its completeness is not durable', () => {
    it('does not count in the answer to a write', async () => {
      const records = new StepwiseRecords();
      const journal = await openJournal(records);
      const store = startStore(journal);
      await records.step(); // view
      await records.step(); // page of the first source
      await records.step(); // page of the second source
      const answer = store.calls['turns.record']?.({ epoch: 2, record: createRecord('t1') });
      await records.step(); // page of the third source; the completeness is pending now
      await records.step(); // turn
      const restarted = await openJournal(records);
      expect(restarted.table.has('t1')).toBe(true);
      expect(restarted.completeFor).toBe(0);
      expect(await answer).toEqual({ kind: 'kept', complete: false });
    });
  });

  // Guards against an incomplete member counted as a source by a store that names no joining epoch.
  describe('as an incomplete member that was complete in an earlier place', () => {
    it('is not reported to a store of a former build', async () => {
      const group = await startGroup();
      group.cut('s1', EVERY_STORE);
      const members = [
        { ...holder(group, 's6', 2), predecessors: [holder(group, 's1', 1)] },
        { ...holder(group, 's1', 3), predecessors: [holder(group, 's2', 1)] },
        ...['s3', 's4', 's5'].map((name) => holder(group, name, 1)),
      ];
      await group.offer(view(3, members), ['s1']);
      const request = { epoch: 3, filling: 'p1', offset: 0, held: [] };
      const answer = await group.store('s1').calls['turns.pull']?.(request);
      expect(answer).toMatchObject({ kind: 'rows', complete: false });
    });
  });

  // Guards against an endless loop: a former build asks again at once if a complete source has no rows.
  describe('that no longer knows a pull session', () => {
    it('is not reported to a store of a former build', async () => {
      const group = await startGroup();
      const request = { epoch: 1, filling: 'p1', offset: 5, held: [] };
      const answer = await group.store('s1').calls['turns.pull']?.(request);
      expect(answer).toMatchObject({ kind: 'rows', complete: false });
    });
  });

  // Guards against a backfill that never ends although the store itself holds the rows it lacks.
  describe('of a store that takes back its own place', () => {
    it('is reached with its own rows if the store between never was complete', async () => {
      const group = await startGroup();
      group.cut('s6', EVERY_STORE);
      group.cut('s5', ['s3', 's4']);
      const predecessors = [holder(group, 's6', 2), holder(group, 's5', 1)];
      const members = [
        ...['s1', 's2', 's3', 's4'].map((name) => holder(group, name, 1)),
        { ...holder(group, 's5', 3), predecessors },
      ];
      await group.offer(view(3, members), ['s1', 's2', 's5', 's6']);
      await group.settle();
      expect(group.store('s5').journal.completeFor).toBe(3);
    });
  });
});

// Guards against a reservation that only incomplete and lost stores hold.
describe('a reservation that was granted while a store was joining', () => {
  it('counts after that store was replaced before it was complete', async () => {
    const group = await startGroup();
    const lasting = ['s1', 's2', 's3', 's4'].map((name) => holder(group, name, 1));
    group.cut('s6', EVERY_STORE);
    const sixth = { ...holder(group, 's6', 2), predecessors: [holder(group, 's5', 1)] };
    const second = view(2, [...lasting, sixth]);
    await group.offer(second, ['s1', 's2', 's6']);
    const reserve = (gateway: string, of: StoreView, turn: string) =>
      group.client(gateway, of).reserve({
        program: 'p',
        turn,
        maxTokens: 60,
        budget: 100,
        deadline: group.clock.monotonic() + 5000,
      });
    const pending = reserve('g1', second, 't1');
    await group.settle();
    await group.offer(second, ['s3', 's4', 's5']);
    expect(await group.outcomeOf(pending)).toMatchObject({ fits: true });
    group.cut('s7', ['s1', 's2']);
    group.cut('g2', ['s1', 's2']);
    const predecessors = [holder(group, 's6', 2), holder(group, 's5', 1)];
    const third = view(3, [...lasting, { ...holder(group, 's7', 3), predecessors }]);
    await group.offer(third, ['s3', 's4', 's5', 's6', 's7']);
    expect(group.store('s7').journal.completeFor).toBe(3);
    expect(await group.outcomeOf(reserve('g2', third, 't2'))).not.toMatchObject({ fits: true });
  });
});

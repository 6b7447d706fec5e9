import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { Backfill, TurnJournal, TurnStore } from '..';
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

async function createStore(disk: MemoryDisk) {
  const clock = new ManualClock();
  const logger = createSilentLogger();
  const random = new SeededRandom(1);
  const records = new SegmentedStore({ folder: '/turns', fileSystem: disk.mount() });
  const journal = new TurnJournal(records, random);
  await journal.open();
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const peers = {
    call: () => Promise.reject(new Error('no other stores')),
    cast: () => undefined,
    isConnected: () => false,
  };
  const backfill = new Backfill({ self: 's1', journal, peers, clock, random, logger });
  const options = { self: 's1', journal, backfill, view, clock, logger };
  const store = new TurnStore({ ...options, metrics: new Metrics() });
  store.start();
  return { store, view, journal };
}

function viewOf(epoch: number, dataLife: string): StoreView {
  const self = { name: 's1', address: 's1', availabilityZone: 'a', dataLife, joined: 1 };
  return { epoch, members: [self], quorum: 1 };
}

describe('a store and the epoch of its view', () => {
  describe('when a request names an older epoch', () => {
    it('rejects the request and returns the newer view', async () => {
      const { store, view, journal } = await createStore(new MemoryDisk());
      view.offer(viewOf(2, journal.dataLife));
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toMatchObject({ kind: 'stale', view: { epoch: 2 } });
    });

    it('rejects the request after a power loss as well', async () => {
      const disk = new MemoryDisk();
      const first = await createStore(disk);
      first.view.offer(viewOf(2, first.journal.dataLife));
      await first.store.calls['turns.record']?.({ epoch: 2, record: RECORD });
      disk.losePower(new SeededRandom(2));
      const { store } = await createStore(disk);
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toMatchObject({ kind: 'stale' });
    });
  });

  describe('when a request names an epoch that the store does not know yet', () => {
    it('rejects the request', async () => {
      const { store, view, journal } = await createStore(new MemoryDisk());
      view.offer(viewOf(1, journal.dataLife));
      const answer = await store.calls['turns.record']?.({ epoch: 2, record: RECORD });
      expect(answer).toEqual({ kind: 'behind' });
      expect(journal.table.has(RECORD.id)).toBe(false);
    });
  });

  // Guards against a store that serves an older epoch again after a power loss.
  describe('while its view is not durable yet', () => {
    it('answers no request of that epoch', async () => {
      const disk = new MemoryDisk();
      const { store, view, journal } = await createStore(disk);
      disk.paused = true;
      view.offer(viewOf(1, journal.dataLife));
      let hasAnswered = false;
      const answer = Promise.resolve(store.calls['turns.chain']?.({ epoch: 1, turn: 't0' }));
      void answer.then(() => (hasAnswered = true));
      await flushEventLoop();
      expect(hasAnswered).toBe(false);
      disk.paused = false;
      disk.releaseOperations();
      expect(await answer).toMatchObject({ kind: 'chain' });
    });

    it('rejects a request that waited until a newer view arrived', async () => {
      const disk = new MemoryDisk();
      const { store, view, journal } = await createStore(disk);
      disk.paused = true;
      view.offer(viewOf(1, journal.dataLife));
      const answer = store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      view.offer(viewOf(2, journal.dataLife));
      disk.paused = false;
      disk.releaseOperations();
      expect(await answer).toMatchObject({ kind: 'stale', view: { epoch: 2 } });
      expect(journal.table.has(RECORD.id)).toBe(false);
    });
  });

  // Guards against a store that answers as complete with the rows of an earlier membership only.
  describe('when the store rejoins with its disk after it was replaced', () => {
    it('is incomplete until it has been filled again', async () => {
      const { store, view, journal } = await createStore(new MemoryDisk());
      const { dataLife } = journal;
      view.offer(viewOf(1, dataLife));
      await flushEventLoop();
      const before = await store.calls['turns.chain']?.({ epoch: 1, turn: 't0' });
      const [self] = viewOf(3, dataLife).members;
      const other = { ...self, name: 's2', address: 's2', dataLife: 'other', joined: 1 };
      const members = [{ ...self, joined: 3 }, other] as StoreView['members'];
      view.offer({ epoch: 3, members, quorum: 1 });
      await flushEventLoop();
      const after = await store.calls['turns.chain']?.({ epoch: 3, turn: 't0' });
      expect([before, after]).toMatchObject([{ complete: true }, { complete: false }]);
    });
  });

  describe('restarted with an empty disk', () => {
    it('does not serve a view that lists an earlier incarnation of its data folder', async () => {
      const disk = new MemoryDisk();
      const { store, view } = await createStore(disk);
      view.offer(viewOf(1, 'another-incarnation'));
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toEqual({ kind: 'behind' });
    });
  });

  describe('when disk writes fail', () => {
    it('rejects the request with the write error', async () => {
      const disk = new MemoryDisk();
      const { store, view, journal } = await createStore(disk);
      view.offer(viewOf(1, journal.dataLife));
      await store.calls['turns.chain']?.({ epoch: 1, turn: 't0' });
      disk.full = true;
      const recording = store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      await expect(recording).rejects.toThrow("can't be written");
    });
  });
});

import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { Backfill, TurnJournal, TurnStore } from '..';

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

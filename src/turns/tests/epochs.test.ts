import { LatestValue, type StoreView } from '../../cluster';
import { Metrics, SeededRandom, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/disk';
import { Filler, TurnJournal, TurnStore } from '..';

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
    call: () => Promise.reject(new Error('nobody else is there')),
    cast: () => undefined,
    isConnected: () => false,
  };
  const filler = new Filler({ self: 's1', journal, peers, clock, random, logger });
  const parts = { self: 's1', journal, filler, view, clock, logger };
  const store = new TurnStore({ ...parts, metrics: new Metrics() });
  store.start();
  return { store, view, journal };
}

function viewOf(epoch: number, dataLife: string): StoreView {
  const self = { name: 's1', address: 's1', availabilityZone: 'a', dataLife, joined: 1 };
  return { epoch, members: [self], quorum: 1 };
}

describe('a store and the epochs of the stores in use', () => {
  describe('asked in an older epoch than its own', () => {
    it('refuses and tells the newer view', async () => {
      const { store, view, journal } = await createStore(new MemoryDisk());
      view.offer(viewOf(2, journal.dataLife));
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toMatchObject({ kind: 'stale', view: { epoch: 2 } });
    });

    it('refuses after a loss of power as well', async () => {
      const disk = new MemoryDisk();
      const first = await createStore(disk);
      first.view.offer(viewOf(2, first.journal.dataLife));
      await first.store.calls['turns.record']?.({ epoch: 2, record: RECORD });
      disk.crash(new SeededRandom(2));
      const { store } = await createStore(disk);
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toMatchObject({ kind: 'stale' });
    });
  });

  describe('that came back without its disk', () => {
    it('takes no part under its former life', async () => {
      const disk = new MemoryDisk();
      const { store, view } = await createStore(disk);
      view.offer(viewOf(1, 'another life'));
      const answer = await store.calls['turns.record']?.({ epoch: 1, record: RECORD });
      expect(answer).toEqual({ kind: 'behind' });
    });
  });

  describe('whose disk refuses writes', () => {
    it('fails the requests and goes on', async () => {
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

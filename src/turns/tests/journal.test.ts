import { SeededRandom } from '../../core';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { TurnJournal } from '..';
import { SAMPLE_VIEW } from './sample-view';
import { flushEventLoop } from './simulated-cluster';
import { createRecord } from './store-group';

const FOLDER = '/turns';

/** Five of them exceed the characters after which the journal is compacted. */
const LARGE_INPUT = Buffer.alloc(10 * 1024 * 1024, 'x');

async function openJournal(disk: MemoryDisk, seed = 1): Promise<TurnJournal> {
  const records = new SegmentedStore({ folder: FOLDER, fileSystem: disk.mount() });
  const journal = new TurnJournal(records, new SeededRandom(seed));
  await journal.open();
  return journal;
}

function turnRow(id: string, input = Buffer.from(id)) {
  return { kind: 'turn', record: createRecord(id, { input }) } as const;
}

// Guards against the loss of rows and of the membership that a store has acknowledged.
describe('TurnJournal', () => {
  describe('with a row that is being written', () => {
    it('does not confirm a repeated row before the first one is durable', async () => {
      const disk = new MemoryDisk();
      const journal = await openJournal(disk);
      disk.paused = true;
      let confirmed = 0;
      for (let count = 0; count < 2; count += 1) {
        void journal.add([turnRow('t1')]).then(
          () => (confirmed += 1),
          () => undefined,
        );
      }
      await flushEventLoop();
      expect(confirmed).toBe(0);
      disk.losePower(new SeededRandom(2));
      disk.paused = false;
      expect((await openJournal(disk)).table.has('t1')).toBe(false);
    });
  });

  describe('after a compaction and a power loss', () => {
    it('still has its rows, its incarnation, its view and its completeness', async () => {
      const disk = new MemoryDisk();
      const journal = await openJournal(disk);
      const { dataLife } = journal;
      await journal.persistView(SAMPLE_VIEW);
      await journal.persistCompleteFor(1);
      const ids = ['t1', 't2', 't3', 't4', 't5', 't6'];
      for (const id of ids) await journal.add([turnRow(id, LARGE_INPUT)]);
      disk.losePower(new SeededRandom(2));
      const names = await disk.mount().list(FOLDER);
      expect(names).toContain('snapshot');
      const restored = await openJournal(disk, 3);
      expect(restored.dataLife).toBe(dataLife);
      expect(restored.view).toEqual(SAMPLE_VIEW);
      expect(restored.completeFor).toBe(1);
      expect(ids.filter((id) => !restored.table.has(id))).toEqual([]);
    });
  });

  // Guards against a disk that fills up because the store restarts before each compaction.
  describe('reopened several times before it is compacted', () => {
    it('counts what earlier runs have appended', async () => {
      const disk = new MemoryDisk();
      const ids = ['t1', 't2', 't3', 't4', 't5', 't6'];
      for (const id of ids) {
        const journal = await openJournal(disk);
        await journal.add([turnRow(id, LARGE_INPUT)]);
        await journal.close();
      }
      expect(await disk.mount().list(FOLDER)).toContain('snapshot');
    });
  });

  describe('with a disk that was emptied', () => {
    it('starts as another incarnation, complete for no epoch', async () => {
      const disk = new MemoryDisk();
      const journal = await openJournal(disk);
      await journal.persistCompleteFor(1);
      disk.wipe();
      const restarted = await openJournal(disk, 3);
      expect(restarted.dataLife).not.toBe(journal.dataLife);
      expect(restarted.completeFor).toBe(0);
    });
  });
});

import { SeededRandom } from '../../core';
import { collectLog } from '../../core/tests/collected-log';
import { ManualClock } from '../../core/tests/manual-clock';
import { RecoveringStore, SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { TurnJournal } from '..';
import { SAMPLE_VIEW } from './sample-view';
import { flushEventLoop } from './simulated-cluster';
import { createRecord } from './store-group';

const FOLDER = '/turns';

function turnRow(id: string) {
  return { kind: 'turn', record: createRecord(id, { input: Buffer.from(id) }) } as const;
}

// Guards against a disk that refuses one write and thereby ends the process of the store.
describe('a journal whose disk refuses writes', () => {
  let disk: MemoryDisk;
  let clock: ManualClock;
  let log: ReturnType<typeof collectLog>;

  beforeEach(() => {
    disk = new MemoryDisk();
    clock = new ManualClock();
    log = collectLog();
  });

  const create = () => {
    const store: RecoveringStore = new RecoveringStore({
      ...{ name: 'turns', clock, logger: log.logger },
      openStore: () => new SegmentedStore({ folder: FOLDER, fileSystem: disk.mount() }),
      snapshot: () => journal.snapshot(),
    });
    const journal: TurnJournal = new TurnJournal(store, new SeededRandom(1));
    return journal;
  };

  const restart = async () => {
    disk.losePower(new SeededRandom(2));
    const journal = create();
    await journal.open();
    return journal;
  };

  const retry = async () => {
    clock.advance(1000);
    await flushEventLoop();
  };

  it('keeps its turns readable and takes no new ones', async () => {
    const journal = create();
    await journal.open();
    await journal.add([turnRow('t1')]);
    disk.full = true;
    await expect(journal.add([turnRow('t2')])).rejects.toThrow('ENOSPC');
    await retry();
    await expect(journal.add([turnRow('t3')])).rejects.toThrow('tried again');
    expect(journal.table.has('t1')).toBe(true);
    expect((await restart()).table.has('t1')).toBe(true);
  });

  it('takes turns again, without a loss, once the disk takes writes', async () => {
    const journal = create();
    await journal.open();
    await journal.persistView(SAMPLE_VIEW);
    await journal.add([turnRow('t1')]);
    disk.full = true;
    await expect(journal.add([turnRow('t2')])).rejects.toThrow('ENOSPC');
    await retry();
    disk.full = false;
    await retry();
    await retry();
    await journal.add([turnRow('t2')]);
    await journal.add([turnRow('t3')]);
    const restored = await restart();
    expect(restored.dataLife).toBe(journal.dataLife);
    expect(restored.view).toEqual(SAMPLE_VIEW);
    expect(['t1', 't2', 't3'].filter((id) => !restored.table.has(id))).toEqual([]);
    const events = log.lines.map(({ event }) => event);
    expect(events).toContain('storage-failed');
    expect(events).toContain('storage-recovered');
  });

  it('is read once the disk can be', async () => {
    const journal = create();
    await journal.open();
    await journal.add([turnRow('t1')]);
    const later = create();
    disk.full = true;
    disk.losePower(new SeededRandom(2));
    disk.wipe();
    const opened = later.open();
    await flushEventLoop();
    expect(later.dataLife).toBe('');
    disk.full = false;
    await retry();
    await opened;
    expect(later.dataLife).not.toBe('');
  });

  it('is not read any more once it is closed', async () => {
    disk.full = true;
    const journal = create();
    const opened = journal.open();
    await flushEventLoop();
    await journal.close();
    clock.advance(1000);
    await expect(opened).rejects.toThrow('closed');
  });
});

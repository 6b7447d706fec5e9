import { createSilentLogger } from '../../core';
import type { Compaction, RecordStore } from '../../storage';
import { KnownState, Newest, type StoreView, type VersionedConfiguration } from '..';

const VIEW: StoreView = { epoch: 3, members: [], quorum: 2 };

/** Records in memory, which outlast the process that wrote them. */
class MemoryRecords implements RecordStore {
  records: string[] = [];
  refuses = false;

  load() {
    return Promise.resolve({ snapshot: undefined, records: [...this.records] });
  }

  append(records: readonly string[]): Promise<void> {
    if (this.refuses) return Promise.reject(new Error('the disk is full'));
    this.records.push(...records);
    return Promise.resolve();
  }

  compact({ snapshot }: Compaction): Promise<void> {
    this.records = [...snapshot];
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

async function startProcess(store: RecordStore) {
  const configuration = new Newest<VersionedConfiguration>(({ version }) => version);
  const view = new Newest<StoreView>(({ epoch }) => epoch);
  const known = new KnownState({ store, configuration, view, logger: createSilentLogger() });
  await known.start();
  return { configuration, view };
}

describe('what a process knew before it was started again', () => {
  it('is known again before anybody was heard', async () => {
    const store = new MemoryRecords();
    const before = await startProcess(store);
    before.configuration.offer({ version: 7, text: 'seven' });
    before.view.offer(VIEW);
    before.configuration.offer({ version: 9, text: 'nine' });
    const after = await startProcess(store);
    expect(after.configuration.value).toEqual({ version: 9, text: 'nine' });
    expect(after.view.value).toEqual(VIEW);
  });

  it('gives way to what is newer, and is never older than what was known', async () => {
    const store = new MemoryRecords();
    const before = await startProcess(store);
    before.configuration.offer({ version: 9, text: 'nine' });
    const after = await startProcess(store);
    expect(after.configuration.offer({ version: 7, text: 'seven' })).toBe(false);
    expect(after.configuration.offer({ version: 10, text: 'ten' })).toBe(true);
  });

  it('is kept in little space however often it changes', async () => {
    const store = new MemoryRecords();
    const { configuration } = await startProcess(store);
    const text = 'x'.repeat(1024 * 1024);
    for (let version = 1; version <= 20; version += 1) configuration.offer({ version, text });
    expect(store.records.length).toBeLessThan(6);
    expect((await startProcess(store)).configuration.number).toBe(20);
  });

  it('is not needed: a disk that refuses writes stops nothing', async () => {
    const store = new MemoryRecords();
    store.refuses = true;
    const { configuration } = await startProcess(store);
    configuration.offer({ version: 1, text: 'one' });
    await Promise.resolve();
    expect(configuration.number).toBe(1);
  });
});

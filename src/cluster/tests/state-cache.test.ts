import { createSilentLogger } from '../../core';
import type { Compaction, RecordStore, StoredRecords } from '../../storage';
import { ClusterStateCache, LatestValue, type StoreView, type VersionedConfiguration } from '..';

const VIEW: StoreView = { epoch: 3, members: [], quorum: 2 };

/** Keeps records across simulated restarts of the process. */
class MemoryRecords implements RecordStore {
  records: string[] = [];
  failsAppends = false;

  load(): Promise<StoredRecords> {
    return Promise.resolve({ snapshot: undefined, records: [...this.records] });
  }

  append(records: readonly string[]): Promise<void> {
    if (this.failsAppends) return Promise.reject(new Error('the disk is full'));
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
  const configuration = new LatestValue<VersionedConfiguration>(({ version }) => version);
  const view = new LatestValue<StoreView>(({ epoch }) => epoch);
  const cache = new ClusterStateCache({ store, configuration, view, logger: createSilentLogger() });
  await cache.start();
  return { configuration, view };
}

describe('ClusterStateCache after a restart', () => {
  it('provides the last configuration and view without contact to other processes', async () => {
    const store = new MemoryRecords();
    const before = await startProcess(store);
    before.configuration.offer({ version: 7, text: 'seven' });
    before.view.offer(VIEW);
    before.configuration.offer({ version: 9, text: 'nine' });
    const after = await startProcess(store);
    expect(after.configuration.value).toEqual({ version: 9, text: 'nine' });
    expect(after.view.value).toEqual(VIEW);
  });

  it('accepts a higher configuration version and rejects a lower one', async () => {
    const store = new MemoryRecords();
    const before = await startProcess(store);
    before.configuration.offer({ version: 9, text: 'nine' });
    const after = await startProcess(store);
    expect(after.configuration.offer({ version: 7, text: 'seven' })).toBe(false);
    expect(after.configuration.offer({ version: 10, text: 'ten' })).toBe(true);
  });

  it('compacts its records when the configuration changes often', async () => {
    const store = new MemoryRecords();
    const { configuration } = await startProcess(store);
    const text = 'x'.repeat(1024 * 1024);
    for (let version = 1; version <= 20; version += 1) configuration.offer({ version, text });
    expect(store.records.length).toBeLessThan(6);
    expect((await startProcess(store)).configuration.version).toBe(20);
  });

  it('provides the last view after a compaction', async () => {
    const store = new MemoryRecords();
    const { configuration, view } = await startProcess(store);
    view.offer(VIEW);
    const text = 'x'.repeat(1024 * 1024);
    for (let version = 1; version <= 20; version += 1) configuration.offer({ version, text });
    expect((await startProcess(store)).view.value).toEqual(VIEW);
  });

  it('provides the values of a snapshot', async () => {
    const store = new MemoryRecords();
    const configuration = JSON.stringify({ configuration: { version: 4, text: 'four' } });
    const snapshot = [configuration, JSON.stringify({ view: VIEW })];
    store.load = () => Promise.resolve({ snapshot, records: [] });
    const restarted = await startProcess(store);
    expect(restarted.configuration.value).toEqual({ version: 4, text: 'four' });
    expect(restarted.view.value).toEqual(VIEW);
  });

  it('does not prevent a configuration change when the disk rejects writes', async () => {
    const store = new MemoryRecords();
    store.failsAppends = true;
    const { configuration } = await startProcess(store);
    configuration.offer({ version: 1, text: 'one' });
    await Promise.resolve();
    expect(configuration.version).toBe(1);
  });
});

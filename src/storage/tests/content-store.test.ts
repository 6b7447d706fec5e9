import { SeededRandom } from '../../core';
import { ContentStore, type ContentStoreOptions } from '..';
import { MemoryDisk } from './memory-disk';

const FOLDER = '/data/contents';

describe('ContentStore', () => {
  let disk: MemoryDisk;

  beforeEach(() => {
    disk = new MemoryDisk();
  });

  async function open(extra: Partial<ContentStoreOptions> = {}): Promise<ContentStore> {
    const fileSystem = disk.mount();
    const store = new ContentStore({ folder: FOLDER, fileSystem, cacheCharacters: 0, ...extra });
    await store.open();
    return store;
  }

  it('reads texts before and after they are written to disk', async () => {
    const store = await open();
    const handles = ['one', 'two\nlines', ''].map((text) => store.put(text || ' '));
    expect(await store.get(handles[1] ?? 0)).toBe('two\nlines');
    await store.flush();
    expect(await Promise.all(handles.map((handle) => store.get(handle)))).toEqual([
      'one',
      'two\nlines',
      ' ',
    ]);
  });

  it('reads a flushed text by its location after a power loss, and assigns a new handle next', async () => {
    const store = await open();
    const handle = store.put('kept');
    await store.flush();
    const location = store.locationOf(handle);
    disk.losePower(new SeededRandom(1));
    const reopened = await open();
    if (location !== undefined) reopened.restore(handle, location);
    expect(await reopened.get(handle)).toBe('kept');
    expect(reopened.put('new')).toBe(handle + 1);
  });

  it('removes only files without a text in use', async () => {
    const store = await open({ fileBytes: 10 });
    const first = store.put('first');
    await store.flush();
    const second = store.put('second');
    await store.flush();
    expect(store.unusedFiles()).toEqual([]);
    store.drop(first);
    const unused = store.unusedFiles();
    expect(unused).toEqual([1]);
    await store.removeFiles(unused);
    expect(await disk.mount().list(FOLDER)).toEqual(['contents-0000000002']);
    expect(await store.get(second)).toBe('second');
  });

  it('rejects with `damaged` when the stored bytes changed', async () => {
    const store = await open();
    const handle = store.put('a text');
    await store.flush();
    disk.flipBit(`${FOLDER}/contents-0000000001`, 22);
    await expect(store.get(handle)).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
  });

  it('evicts the least recently used text above the cache size', async () => {
    const store = await open({ cacheCharacters: 10 });
    const [first, second] = [store.put('12345678'), store.put('abcdefgh')];
    await store.flush();
    disk.flipBit(`${FOLDER}/contents-0000000001`, 22);
    expect(await store.get(second)).toBe('abcdefgh');
    await expect(store.get(first)).rejects.toThrow('damaged');
  });

  it('rejects each flush on a full disk, reports one failure and still returns the texts', async () => {
    const failures: string[] = [];
    const store = await open({ onFailure: (error) => failures.push(error.message) });
    disk.full = true;
    const handle = store.put('a text');
    await expect(store.flush()).rejects.toThrow('free disk space or repair the disk');
    store.put('another');
    await expect(store.flush()).rejects.toThrow('free disk space');
    expect(failures).toHaveLength(1);
    expect(await store.get(handle)).toBe('a text');
  });
});

import { SeededRandom } from '../../core';
import { ContentStore, type ContentStoreOptions } from '..';
import { MemoryDisk } from './disk';

const FOLDER = '/data/contents';

describe('a content store', () => {
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

  it('gives texts back before and after they are written', async () => {
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

  it('keeps what was flushed over a loss of power, by its place', async () => {
    const store = await open();
    const handle = store.put('kept');
    await store.flush();
    const place = store.placeOf(handle);
    disk.crash(new SeededRandom(1));
    const again = await open();
    if (place !== undefined) again.adopt(handle, place);
    expect(await again.get(handle)).toBe('kept');
    expect(again.put('new')).toBe(handle + 1);
  });

  it('removes files only once nothing in them is in use', async () => {
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

  it('refuses a text that is not what was written', async () => {
    const store = await open();
    const handle = store.put('a text');
    await store.flush();
    disk.flip(`${FOLDER}/contents-0000000001`, 22);
    await expect(store.get(handle)).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
  });

  it('holds in memory only as much as it may', async () => {
    const store = await open({ cacheCharacters: 10 });
    const [first, second] = [store.put('12345678'), store.put('abcdefgh')];
    await store.flush();
    disk.flip(`${FOLDER}/contents-0000000001`, 22);
    expect(await store.get(second)).toBe('abcdefgh');
    await expect(store.get(first)).rejects.toThrow('damaged');
  });

  it('fails a flush on a full disk, tells of it once, and still has the texts', async () => {
    const failures: string[] = [];
    const store = await open({ onFailure: (error) => failures.push(error.message) });
    disk.full = true;
    const handle = store.put('a text');
    await expect(store.flush()).rejects.toThrow('free space or mend the disk');
    store.put('another');
    await expect(store.flush()).rejects.toThrow('free space');
    expect(failures).toHaveLength(1);
    expect(await store.get(handle)).toBe('a text');
  });
});

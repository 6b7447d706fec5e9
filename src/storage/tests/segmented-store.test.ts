import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SegmentedStore, type StoredRecords } from '..';
import { MemoryDisk } from './disk';

describe('a segmented store', () => {
  let folder: string;
  let segment: string;

  beforeEach(async () => {
    folder = join(await mkdtemp(join(tmpdir(), 'martenbay-store-')), 'nested');
    segment = join(folder, 'segment-0000000001');
  });

  afterEach(async () => {
    await rm(join(folder, '..'), { recursive: true });
  });

  function open(segmentBytes?: number): SegmentedStore {
    return new SegmentedStore({ folder, ...(segmentBytes === undefined ? {} : { segmentBytes }) });
  }

  /** Appends each text with a sync of its own. */
  async function write(...texts: readonly string[]): Promise<void> {
    const store = open();
    await store.load();
    for (const text of texts) await store.append([text]);
    await store.close();
  }

  async function read(): Promise<StoredRecords> {
    const store = open();
    const stored = await store.load();
    await store.close();
    return stored;
  }

  async function flip(file: string, offset: number): Promise<void> {
    const bytes = await readFile(file);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
    await writeFile(file, bytes);
  }

  describe('after a restart', () => {
    it('gives back what was appended, in order', async () => {
      await write('one', 'two');
      await write('three');
      expect(await read()).toEqual({ snapshot: undefined, records: ['one', 'two', 'three'] });
    });

    it('does so over many segments', async () => {
      const store = open(40);
      await store.load();
      const texts = Array.from({ length: 20 }, (_, index) => `record ${index}`);
      for (const text of texts) await store.append([text]);
      await store.close();
      expect((await readdir(folder)).length).toBeGreaterThan(5);
      expect((await read()).records).toEqual(texts);
    });

    it('cuts a torn tail off, tells of it, and goes on after it', async () => {
      await write('one', 'two');
      const bytes = await readFile(segment);
      await writeFile(segment, bytes.subarray(0, bytes.length - 2));
      const cuts: number[] = [];
      const store = new SegmentedStore({ folder, onTornTail: (_, cut) => cuts.push(cut) });
      expect((await store.load()).records).toEqual(['one']);
      await store.close();
      expect(cuts).toEqual([13]);
      await write('three');
      expect((await read()).records).toEqual(['one', 'three']);
    });

    it('takes a spoiled end that nothing follows for a write that was not synced', async () => {
      await write('one', 'two');
      const bytes = await readFile(segment);
      await writeFile(segment, Buffer.concat([bytes, Buffer.alloc(100)]));
      expect((await read()).records).toEqual(['one', 'two']);
    });
  });

  describe('with damage', () => {
    it('refuses flipped bits before the end, naming file, place and mend', async () => {
      await write('one', 'two', 'three');
      await flip(segment, 21);
      await expect(read()).rejects.toMatchObject({
        issues: [{ code: 'damaged', path: [segment] }],
      });
      await expect(read()).rejects.toThrow('damaged at byte 8; move the folder away');
    });

    it('refuses a length field that was changed', async () => {
      await write('one', 'two', 'three');
      await flip(segment, 12);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
    });

    it('refuses a missing segment', async () => {
      const store = open(10);
      await store.load();
      for (const text of ['one', 'two', 'three']) await store.append([text]);
      await store.close();
      await rm(join(folder, 'segment-0000000002'));
      await expect(read()).rejects.toThrow('is missing');
    });

    it('refuses a damaged snapshot', async () => {
      const store = open();
      await store.load();
      await store.compact({ snapshot: ['row'], records: [], exclusive: false });
      await store.close();
      await flip(join(folder, 'snapshot'), 30);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
    });

    it('refuses a file of another format', async () => {
      await write('one');
      await flip(segment, 7);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unknown_format' }] });
      await expect(read()).rejects.toThrow('run the version that wrote it');
    });
  });

  describe('whose beginning a snapshot replaces', () => {
    it('gives back the snapshot and what stands behind it, and frees the rest', async () => {
      const store = open(10);
      await store.load();
      for (const text of ['one', 'two', 'three']) await store.append([text]);
      const compacted = store.compact({
        snapshot: ['a', 'b'],
        records: ['kept'],
        exclusive: false,
      });
      await Promise.all([compacted, store.append(['four'])]);
      await store.close();
      expect(await read()).toEqual({ snapshot: ['a', 'b'], records: ['kept', 'four'] });
      const left = ['segment-0000000004', 'segment-0000000005', 'snapshot'];
      expect((await readdir(folder)).sort()).toEqual(left);
    });

    it('keeps an append that was asked for after it behind it', async () => {
      const store = open();
      await store.load();
      const held = store.append(['one']);
      const compacted = store.compact({ snapshot: ['a'], records: ['kept'], exclusive: true });
      const after = store.append(['two']);
      await Promise.all([held, compacted, after]);
      await store.close();
      expect(await read()).toEqual({ snapshot: ['a'], records: ['kept', 'two'] });
    });
  });

  describe('on a slow disk', () => {
    async function pass(disk: MemoryDisk): Promise<void> {
      disk.letGo(1);
      await new Promise((resolve) => setImmediate(resolve));
    }

    /** Whether an append is acknowledged before the snapshot asked for ahead of it is in place. */
    async function overtakes(exclusive: boolean): Promise<boolean> {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      disk.slow = true;
      const order: string[] = [];
      const compacted = store.compact({ snapshot: ['row'], records: [], exclusive });
      void compacted.then(() => order.push('snapshot'));
      void store.append(['one']).then(() => order.push('append'));
      while (order.length < 2) await pass(disk);
      return order[0] === 'append';
    }

    it('keeps appends waiting for a snapshot that they rest on, and only then', async () => {
      expect(await overtakes(true)).toBe(false);
      expect(await overtakes(false)).toBe(true);
    });
  });

  describe('on a disk that fails', () => {
    it('refuses a folder that is a file', async () => {
      await writeFile(join(folder, '..', 'nested'), 'x');
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unopenable' }] });
    });

    it('acknowledges nothing once it was full, and says what to do', async () => {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      await store.append(['one']);
      disk.full = true;
      await expect(store.append(['two'])).rejects.toThrow('free space or mend the disk');
      disk.full = false;
      await expect(store.append(['three'])).rejects.toMatchObject({
        issues: [{ code: 'unwritable' }],
      });
      await store.close();
      const again = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      expect((await again.load()).records).toEqual(['one']);
    });

    it('fails a snapshot that finds no room, and keeps what it was to replace', async () => {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      await store.append(['one']);
      disk.full = true;
      const compacted = store.compact({ snapshot: ['a'], records: [], exclusive: false });
      await expect(compacted).rejects.toMatchObject({ issues: [{ code: 'unwritable' }] });
      disk.full = false;
      await store.close();
      const again = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      expect((await again.load()).records).toEqual(['one']);
    });

    it('acknowledges nothing once it is closed', async () => {
      const store = open();
      await store.load();
      await store.close();
      await expect(store.append(['one'])).rejects.toMatchObject({ issues: [{ code: 'not_open' }] });
    });
  });
});

import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SegmentedStore, type StoredRecords } from '..';
import { MemoryDisk } from './memory-disk';

describe('SegmentedStore', () => {
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

  /** Appends each text in a separate frame. */
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

  async function flipBit(file: string, offset: number): Promise<void> {
    const bytes = await readFile(file);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
    await writeFile(file, bytes);
  }

  describe('after a restart', () => {
    it('returns the records in the order they were appended', async () => {
      await write('one', 'two');
      await write('three');
      expect(await read()).toEqual({ snapshot: undefined, records: ['one', 'two', 'three'] });
    });

    it('returns the records of many segments in order', async () => {
      const store = open(40);
      await store.load();
      const texts = Array.from({ length: 20 }, (_, index) => `record ${index}`);
      for (const text of texts) await store.append([text]);
      await store.close();
      expect((await readdir(folder)).length).toBeGreaterThan(5);
      expect((await read()).records).toEqual(texts);
    });

    it('truncates an incomplete last frame, reports its size and appends after it', async () => {
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

    it('ignores invalid bytes at the end, as that write was never acknowledged', async () => {
      await write('one', 'two');
      const bytes = await readFile(segment);
      await writeFile(segment, Buffer.concat([bytes, Buffer.alloc(100)]));
      expect((await read()).records).toEqual(['one', 'two']);
    });
  });

  describe('with damage', () => {
    it('rejects a changed bit before the last frame, naming file, offset and repair', async () => {
      await write('one', 'two', 'three');
      await flipBit(segment, 21);
      await expect(read()).rejects.toMatchObject({
        issues: [{ code: 'damaged', path: [segment] }],
      });
      await expect(read()).rejects.toThrow('damaged at byte 8; move the folder away');
    });

    it('rejects a changed length field', async () => {
      await write('one', 'two', 'three');
      await flipBit(segment, 12);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
    });

    it('rejects a missing segment', async () => {
      const store = open(10);
      await store.load();
      for (const text of ['one', 'two', 'three']) await store.append([text]);
      await store.close();
      await rm(join(folder, 'segment-0000000002'));
      await expect(read()).rejects.toThrow('is missing');
    });

    it('rejects a damaged snapshot', async () => {
      const store = open();
      await store.load();
      await store.compact({ snapshot: ['row'], records: [], exclusive: false });
      await store.close();
      await flipBit(join(folder, 'snapshot'), 30);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'damaged' }] });
    });

    it('rejects a file of another format', async () => {
      await write('one');
      await flipBit(segment, 7);
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unknown_format' }] });
      await expect(read()).rejects.toThrow('run the version that wrote it');
    });
  });

  describe('after a compaction', () => {
    it('returns the snapshot and the records that follow it, and removes older segments', async () => {
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
      const remaining = ['segment-0000000004', 'segment-0000000005', 'snapshot'];
      expect((await readdir(folder)).sort()).toEqual(remaining);
    });

    it('keeps an append that was called after the compaction', async () => {
      const store = open();
      await store.load();
      const before = store.append(['one']);
      const compacted = store.compact({ snapshot: ['a'], records: ['kept'], exclusive: true });
      const after = store.append(['two']);
      await Promise.all([before, compacted, after]);
      await store.close();
      expect(await read()).toEqual({ snapshot: ['a'], records: ['kept', 'two'] });
    });
  });

  describe('on a slow disk', () => {
    async function runNextOperation(disk: MemoryDisk): Promise<void> {
      disk.releaseOperations(1);
      await new Promise((resolve) => setImmediate(resolve));
    }

    /** Whether an append is acknowledged before the snapshot of an earlier call is synced. */
    async function appendResolvesFirst(exclusive: boolean): Promise<boolean> {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      disk.paused = true;
      const order: string[] = [];
      const compacted = store.compact({ snapshot: ['row'], records: [], exclusive });
      void compacted.then(() => order.push('snapshot'));
      void store.append(['one']).then(() => order.push('append'));
      while (order.length < 2) await runNextOperation(disk);
      return order[0] === 'append';
    }

    it('delays appends until the snapshot is synced only for an exclusive compaction', async () => {
      expect(await appendResolvesFirst(true)).toBe(false);
      expect(await appendResolvesFirst(false)).toBe(true);
    });
  });

  describe('on a failing disk', () => {
    it('rejects a folder path that is a file', async () => {
      await writeFile(join(folder, '..', 'nested'), 'x');
      await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unopenable' }] });
    });

    it('rejects all appends after a failed write, naming the repair, and keeps earlier records', async () => {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      await store.append(['one']);
      disk.full = true;
      await expect(store.append(['two'])).rejects.toThrow('free disk space or repair the disk');
      disk.full = false;
      await expect(store.append(['three'])).rejects.toMatchObject({
        issues: [{ code: 'unwritable' }],
      });
      await store.close();
      const reopened = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      expect((await reopened.load()).records).toEqual(['one']);
    });

    it('rejects a compaction on a full disk and keeps the records', async () => {
      const disk = new MemoryDisk();
      const store = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      await store.load();
      await store.append(['one']);
      disk.full = true;
      const compacted = store.compact({ snapshot: ['a'], records: [], exclusive: false });
      await expect(compacted).rejects.toMatchObject({ issues: [{ code: 'unwritable' }] });
      disk.full = false;
      await store.close();
      const reopened = new SegmentedStore({ folder: '/data', fileSystem: disk.mount() });
      expect((await reopened.load()).records).toEqual(['one']);
    });

    it('rejects an append after close', async () => {
      const store = open();
      await store.load();
      await store.close();
      await expect(store.append(['one'])).rejects.toMatchObject({ issues: [{ code: 'not_open' }] });
    });
  });
});

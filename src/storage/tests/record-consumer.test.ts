import { join } from 'node:path';
import { QuarantiningStore, type RecordConsumer, SegmentedStore } from '..';
import { MemoryDisk } from './memory-disk';

const FOLDER = '/records';

/** Each record begins another segment. */
const SEGMENT_BYTES = 1;

class LoggingConsumer implements RecordConsumer {
  readonly events: string[] = [];

  reset(): void {
    this.events.push('reset');
  }

  takeSnapshotRow(row: string): void {
    this.events.push(`row ${row}`);
  }

  takeRecord(record: string): void {
    this.events.push(`record ${record}`);
  }
}

function segment(number: number): string {
  return `segment-${String(number).padStart(10, '0')}`;
}

describe('a store that is loaded with a consumer', () => {
  let disk: MemoryDisk;

  beforeEach(async () => {
    disk = new MemoryDisk();
    const options = { folder: FOLDER, fileSystem: disk.mount(), segmentBytes: SEGMENT_BYTES };
    const store = new SegmentedStore(options);
    await store.load();
    await store.append(['a']);
    await store.compact({ snapshot: ['s1', 's2'], records: [], exclusive: false });
    for (const record of ['b', 'c']) await store.append([record]);
    await store.close();
  });

  // Guards against a process that holds all records at once and exceeds its memory at a restart.
  it('passes the records of a segment on before it reads the next one', async () => {
    const consumer = new LoggingConsumer();
    const fileSystem = disk.mount();
    const read = fileSystem.read.bind(fileSystem);
    fileSystem.read = (file) => {
      consumer.events.push(`read ${file.slice(FOLDER.length + 1)}`);
      return read(file);
    };
    const loaded = await new SegmentedStore({ folder: FOLDER, fileSystem }).load(consumer);
    expect(loaded.records).toEqual([]);
    const [first = '', ...others] = consumer.events.filter((event) => event.startsWith('read'));
    expect(others.length).toBeGreaterThan(0);
    expect(consumer.events.slice(0, 3)).toEqual(['row s1', 'row s2', first]);
    expect(consumer.events.indexOf('record b')).toBeLessThan(
      consumer.events.lastIndexOf(others.at(-1) ?? ''),
    );
    expect(consumer.events.at(-1)).toBe('record c');
  });

  // Guards against records of a damaged store that are kept by a process that starts empty.
  it('resets the consumer if it turns out to be damaged and starts empty', async () => {
    const consumer = new LoggingConsumer();
    const fileSystem = disk.mount();
    const names = await fileSystem.list(FOLDER);
    await fileSystem.remove(join(FOLDER, segment(4)));
    expect(names).toContain(segment(4));
    fileSystem.rename = async (from) => {
      for (const name of await fileSystem.list(from)) await fileSystem.remove(join(from, name));
    };
    const store = new QuarantiningStore({
      folder: FOLDER,
      fileSystem,
      mayQuarantine: true,
      onQuarantine: () => undefined,
    });
    await store.load(consumer);
    expect(consumer.events.at(-1)).toBe('reset');
  });
});

import { appendFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FileRecordStore } from '..';

describe('a record file', () => {
  let folder: string;
  let file: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'martenbay-store-'));
    file = join(folder, 'nested', 'log');
  });

  afterEach(async () => {
    await rm(folder, { recursive: true });
  });

  async function write(...texts: readonly string[]): Promise<void> {
    const store = new FileRecordStore(file);
    await store.load();
    await store.append(texts.map((text) => Buffer.from(text)));
    await store.close();
  }

  async function read(): Promise<readonly string[]> {
    const store = new FileRecordStore(file);
    const records = await store.load();
    await store.close();
    return records.map(String);
  }

  it('gives back what was appended, in order, over restarts', async () => {
    await write('one', 'two');
    await write('three');
    expect(await read()).toEqual(['one', 'two', 'three']);
  });

  it('cuts a torn tail off and goes on after it', async () => {
    await write('one', 'two');
    const bytes = await readFile(file);
    await writeFile(file, bytes.subarray(0, bytes.length - 2));
    expect(await read()).toEqual(['one']);
    await write('three');
    expect(await read()).toEqual(['one', 'three']);
  });

  it('refuses flipped bits before the end, naming file, place and mend', async () => {
    await write('one', 'two', 'three');
    const bytes = await readFile(file);
    bytes.writeUInt8(bytes.readUInt8(18) ^ 1, 18);
    await writeFile(file, bytes);
    await expect(read()).rejects.toMatchObject({
      issues: [{ code: 'damaged', path: [file] }],
    });
    await expect(read()).rejects.toThrow('move the file away');
  });

  it('refuses a file of another format', async () => {
    await write('one');
    const bytes = await readFile(file);
    bytes.writeUInt8(9, 7);
    await writeFile(file, bytes);
    await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unknown_format' }] });
  });

  it('refuses a folder that is a file', async () => {
    await appendFile(join(folder, 'nested'), 'x');
    await expect(read()).rejects.toMatchObject({ issues: [{ code: 'unopenable' }] });
  });

  it('acknowledges nothing once a write has failed', async () => {
    const store = new FileRecordStore(file);
    await store.load();
    await store.close();
    const append = () => store.append([Buffer.from('one')]);
    await expect(append()).rejects.toMatchObject({ issues: [{ code: 'not_open' }] });
    await expect(append()).rejects.toMatchObject({ issues: [{ code: 'not_open' }] });
  });
});

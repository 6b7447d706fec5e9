import { mkdtemp, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { NodeFileSystem } from '../file-system';

/** Permission bits of group and others. */
const GROUP_AND_OTHERS = 0o077;

describe('NodeFileSystem', () => {
  let parent: string;

  beforeAll(async () => {
    parent = await mkdtemp(join(tmpdir(), 'martenbay-disk-'));
  });

  afterAll(() => rm(parent, { recursive: true, force: true }));

  it('creates files and folders without permissions for group and others', async () => {
    const fileSystem = new NodeFileSystem();
    const folder = join(parent, 'state', 'cluster');
    await fileSystem.ensureFolder(folder);
    const files = [await fileSystem.create(join(folder, 'a'))];
    files.push(await fileSystem.createSynchronous(join(folder, 'b')));
    for (const file of files) await file.close();
    const paths = [join(parent, 'state'), folder, join(folder, 'a'), join(folder, 'b')];
    const modes = await Promise.all(
      paths.map(async (path) => (await stat(path)).mode & GROUP_AND_OTHERS),
    );
    expect(modes).toEqual([0, 0, 0, 0]);
  });
});

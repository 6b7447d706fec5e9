import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { collectLog } from '../../core/tests/collected-log';
import { LifetimeRecord } from '../lifetime-record';

// Guards against the end of a process that leaves no trace.
describe('LifetimeRecord', () => {
  let dataFolder: string;

  beforeEach(() => {
    dataFolder = mkdtempSync(join(tmpdir(), 'lifetime-'));
  });

  afterEach(() => {
    rmSync(dataFolder, { recursive: true });
  });

  const openIn = (folder: string | undefined) =>
    new LifetimeRecord({ dataFolder: folder, logger: collectLog().logger });
  const open = () => openIn(dataFolder);

  describe('of a former lifetime', () => {
    it('tells that it was stopped', () => {
      const record = open();
      record.recordRunning();
      record.recordStopped();
      expect(open().former).toEqual({ end: 'stopped' });
    });

    it('tells that it failed, and why', () => {
      open().recordFailed('out of descriptors');
      expect(open().former).toEqual({ end: 'failed', reason: 'out of descriptors' });
    });

    it('tells that it ended without a word', () => {
      open().recordRunning();
      expect(open().former).toEqual({ end: 'killed' });
    });

    it('does not tell what the file does not say', () => {
      writeFileSync(join(dataFolder, 'lifetime.json'), '{"sta');
      expect(open().former).toEqual({ end: 'unknown' });
    });
  });

  describe('without a data folder', () => {
    it.each([undefined, '/nonexistent/data'])('records nothing in %p', (folder) => {
      const record = openIn(folder);
      record.recordRunning();
      expect(record.former).toEqual({ end: 'unknown' });
    });
  });
});

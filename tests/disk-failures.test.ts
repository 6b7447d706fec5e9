import { readFile, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { INSTANT_ENGINE } from '../src/local';
import type { LogLine } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller } from './caller';

/** Offset within the first text of a history file. */
const FLIPPED_BYTE_OFFSET = 60;

describe('control hosts whose disks fail', () => {
  let system: MultiProcessSystem;
  let caller: Caller;
  let program: string;

  beforeEach(async () => {
    system = await MultiProcessSystem.start({
      engineSettings: INSTANT_ENGINE,
      entries: 1,
      controlSettings: { 'history-cache-megabytes': 0 },
    });
    caller = new Caller(system.entryUrls[0] ?? '');
    program = await caller.createProgram();
    expect(await caller.sendTurn(program, 1, 'One.')).toMatchObject({ status: 200 });
  });

  afterEach(async () => {
    await system.stop();
  });

  async function flipBit(file: string, offset: number): Promise<void> {
    const bytes = await readFile(file);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
    await writeFile(file, bytes);
  }

  function dataFolderOf(name: string): string {
    const index = system.layout.controlMembers.findIndex((member) => member.name === name);
    return system.layout.dataFolders[index] ?? '';
  }

  async function kill(name: string): Promise<void> {
    const child = system.child(name);
    child.signal('SIGKILL');
    await child.exited;
  }

  /** Restarts a host, and resolves once it has caught up and votes in every group. */
  async function restartUntilVoter(name: string): Promise<void> {
    await system.restart(name);
    const { groups } = await system.status();
    for (const { group } of groups) {
      const votes = (line: LogLine) => line['votes'] === true && line['group'] === group;
      await system.child(name).waitForLog(votes);
    }
  }

  describe('a deleted data folder', () => {
    it('is restored from the other hosts, one host after another, without loss', async () => {
      for (const { name } of system.layout.controlMembers) {
        await kill(name);
        await rm(dataFolderOf(name), { recursive: true });
        await restartUntilVoter(name);
      }
      expect(await caller.getProgram(program)).toMatchObject({
        message_count: 2,
        next_sequence: 2,
      });
      expect(await caller.sendTurn(program, 2, 'Two.')).toMatchObject({ status: 200 });
    });
  });

  describe('a segment with flipped bits', () => {
    it('is quarantined, logged and restored from the other hosts', async () => {
      const { leader, group } = await system.groupOf(program);
      const name =
        system.layout.controlMembers.find((member) => member.name !== leader)?.name ?? '';
      await kill(name);
      const log = join(dataFolderOf(name), group);
      const segment = join(
        log,
        (await readdir(log)).find((file) => file.startsWith('segment')) ?? '',
      );
      await flipBit(segment, 30);
      await restartUntilVoter(name);
      const logLine = await system
        .child(name)
        .waitForLog((line) => line['event'] === 'storage-quarantined');
      expect(logLine).toMatchObject({ level: 'error', movedTo: `${log}.damaged-1` });
      expect(String(logLine['error'])).toContain('damaged at byte 8');
      expect(await readdir(dataFolderOf(name))).toContain(`${group}.damaged-1`);
      await kill(leader);
      expect(await caller.sendTurn(program, 2, 'Two.')).toMatchObject({ status: 200 });
      await system.restart(leader);
    });
  });

  describe('a history with flipped bits', () => {
    it('stops its host, another leader takes over, and the history is restored from the other hosts', async () => {
      const { leader, group } = await system.groupOf(program);
      const folder = join(dataFolderOf(leader), 'contents', group);
      const [name = ''] = await readdir(folder);
      const history = join(folder, name);
      // An acknowledged history is in the log; its own file is written asynchronously.
      await system.until(async () => (await stat(history)).size > FLIPPED_BYTE_OFFSET);
      await flipBit(history, FLIPPED_BYTE_OFFSET);
      const damagedHost = system.child(leader);
      const response = await caller.sendTurn(program, 2, 'Two.');
      expect(response).toMatchObject({ status: 200 });
      expect(await damagedHost.exited).toBe(1);
      expect(damagedHost.lines.map((line) => line['event'])).toContain('storage-damaged');
      expect(await caller.getProgram(program)).toMatchObject({ message_count: 4 });
      await restartUntilVoter(leader);
      expect(await readdir(dataFolderOf(leader))).toContain(`${group}.damaged-1`);
    });
  });
});

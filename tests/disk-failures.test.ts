import { readFile, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { INSTANT_ENGINE } from '../src/local';
import type { LogLine } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller } from './caller';

/** A byte in the first text of a file of histories. */
const FLIPPED_BYTE = 60;

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
    expect(await caller.turn(program, 1, 'One.')).toMatchObject({ status: 200 });
  });

  afterEach(async () => {
    await system.stop();
  });

  async function flip(file: string, offset: number): Promise<void> {
    const bytes = await readFile(file);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 1, offset);
    await writeFile(file, bytes);
  }

  function folderOf(name: string): string {
    const index = system.layout.controlMembers.findIndex((member) => member.name === name);
    return system.layout.dataFolders[index] ?? '';
  }

  async function kill(name: string): Promise<void> {
    const child = system.child(name);
    child.signal('SIGKILL');
    await child.exited;
  }

  /** Starts a host again, and resolves once it is filled and votes in every group. */
  async function restartUntilVoter(name: string): Promise<void> {
    await system.restart(name);
    const { groups } = await system.status();
    for (const { group } of groups) {
      const votes = (line: LogLine) => line['votes'] === true && line['group'] === group;
      await system.child(name).waitForLog(votes);
    }
  }

  describe('a data folder that was deleted', () => {
    it('is filled again by the others, host after host, and nothing is lost', async () => {
      for (const { name } of system.layout.controlMembers) {
        await kill(name);
        await rm(folderOf(name), { recursive: true });
        await restartUntilVoter(name);
      }
      expect(await caller.program(program)).toMatchObject({ message_count: 2, next_sequence: 2 });
      expect(await caller.turn(program, 2, 'Two.')).toMatchObject({ status: 200 });
    });
  });

  describe('a segment with flipped bits', () => {
    it('is moved aside, told of, and filled again by the others', async () => {
      const { leader, group } = await system.groupOf(program);
      const name =
        system.layout.controlMembers.find((member) => member.name !== leader)?.name ?? '';
      await kill(name);
      const log = join(folderOf(name), group);
      const segment = join(
        log,
        (await readdir(log)).find((file) => file.startsWith('segment')) ?? '',
      );
      await flip(segment, 30);
      await restartUntilVoter(name);
      const told = await system
        .child(name)
        .waitForLog((line) => line['event'] === 'storage-quarantined');
      expect(told).toMatchObject({ level: 'error', movedTo: `${log}.damaged-1` });
      expect(String(told['error'])).toContain('damaged at byte 8');
      expect(await readdir(folderOf(name))).toContain(`${group}.damaged-1`);
      await kill(leader);
      expect(await caller.turn(program, 2, 'Two.')).toMatchObject({ status: 200 });
      await system.restart(leader);
    });
  });

  describe('a history with flipped bits', () => {
    it('ends its host, whose place another takes, and is filled again by the others', async () => {
      const { leader, group } = await system.groupOf(program);
      const folder = join(folderOf(leader), 'contents', group);
      const [name = ''] = await readdir(folder);
      const history = join(folder, name);
      // The log holds a history that was acknowledged; its own file is written behind.
      await system.until(async () => (await stat(history)).size > FLIPPED_BYTE);
      await flip(history, FLIPPED_BYTE);
      const lost = system.child(leader);
      const answer = await caller.turn(program, 2, 'Two.');
      expect(answer).toMatchObject({ status: 200 });
      expect(await lost.exited).toBe(1);
      expect(lost.lines.map((line) => line['event'])).toContain('storage-damaged');
      expect(await caller.program(program)).toMatchObject({ message_count: 4 });
      await restartUntilVoter(leader);
      expect(await readdir(folderOf(leader))).toContain(`${group}.damaged-1`);
    });
  });
});

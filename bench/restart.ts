import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { digestText } from '../src/core';
import { ContentStore, SegmentedStore } from '../src/storage';
import { type Command, ProgramStateMachine } from '../src/state';
import { roundToThousandths } from './measurement';

/** 20 turns of 70 kB are 350,000 tokens of 4 bytes. */
const TURNS_PER_PROGRAM = 20;
const TURN_TEXT = 'A word. '.repeat(8750);

const PROGRAM_KIND = {
  outcome: 'kind',
  name: 'long',
  services: ['assistant'],
  turnLimit: 200,
  idleMilliseconds: 1e9,
  lifeMilliseconds: 1e9,
  tokenLimit: 1e12,
  callLimit: 1e6,
} as const;

/** Memory of a group with many long programs, and the time to restore it from its snapshot. */
export async function benchRestart(sizes: readonly number[]): Promise<object> {
  const results: object[] = [];
  for (const programs of sizes) results.push(await measure(programs));
  return {
    turns: TURNS_PER_PROGRAM,
    charactersPerProgram: TURNS_PER_PROGRAM * TURN_TEXT.length,
    results,
  };
}

async function measure(programs: number): Promise<object> {
  const folder = await mkdtemp(join(tmpdir(), 'martenbay-restart-'));
  const store = new SegmentedStore({ folder: join(folder, 'log') });
  await store.load();
  const contents = await openContents(folder);
  const machine = new ProgramStateMachine(contents);
  for (let index = 0; index < programs; index += 1) {
    fillProgram(machine, `p-${index}`);
    await contents.flush();
  }
  await store.compact({ snapshot: machine.snapshot(), records: [], exclusive: true });
  await store.close();
  await contents.close();
  const startedAt = performance.now();
  const reopenedStore = new SegmentedStore({ folder: join(folder, 'log') });
  const { snapshot = [] } = await reopenedStore.load();
  const restored = new ProgramStateMachine(await openContents(folder));
  const heapBefore = usedHeapMegabytes();
  restored.restore(snapshot);
  const milliseconds = performance.now() - startedAt;
  const stateMegabytes = usedHeapMegabytes() - heapBefore;
  const snapshotBytes = snapshot.reduce((sum, row) => sum + row.length, 0);
  await reopenedStore.close();
  await rm(folder, { recursive: true });
  return {
    programs,
    restartMilliseconds: roundToThousandths(milliseconds),
    stateMegabytes: roundToThousandths(stateMegabytes),
    snapshotMegabytes: roundToThousandths(snapshotBytes / 1e6),
    restoredPrograms: restored.tables.programs.size,
  };
}

async function openContents(folder: string): Promise<ContentStore> {
  const contents = new ContentStore({ folder: join(folder, 'contents'), cacheCharacters: 0 });
  await contents.open();
  return contents;
}

function usedHeapMegabytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}

function fillProgram(machine: ProgramStateMachine, id: string): void {
  let index = 0;
  const apply = (command: Command) => {
    index += 1;
    machine.apply(JSON.stringify(command), index);
  };
  const input = { id, team: 'bench', configurationNumber: 1 };
  apply({ kind: 'create-program', at: 1, input, kindInForce: PROGRAM_KIND });
  for (let sequence = 1; sequence <= TURNS_PER_PROGRAM; sequence += 1) {
    for (const command of turnCommands(id, sequence)) apply(command);
  }
}

function turnCommands(program: string, sequence: number): readonly Command[] {
  const attempt = digestText(`${program} ${sequence}`).slice(0, 24);
  const message = { role: 'assistant', content: TURN_TEXT };
  const usage = { promptTokens: 10, completionTokens: 10, cachedTokens: 0 };
  return [
    {
      kind: 'begin-step',
      at: sequence,
      input: {
        program,
        team: 'bench',
        sequence,
        attempt,
        entry: 'entry-1/a',
        service: 'assistant',
        requestDigest: digestText(attempt),
        history: { kind: 'append' },
        newTokens: 10,
        outputTokens: 10,
      },
    },
    {
      kind: 'complete-step',
      at: sequence,
      input: {
        program,
        sequence,
        attempt,
        answer: {
          kind: 'turn',
          id: attempt,
          model: 'm',
          created: 1,
          message: { role: 'assistant', content: '' },
          finishReason: 'stop',
          usage,
        },
        messages: [message],
        usage,
        target: 'engine-a',
        end: false,
      },
    },
  ];
}

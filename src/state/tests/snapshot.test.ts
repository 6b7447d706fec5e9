import { ContentStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { ProgramStateMachine } from '..';
import { StateMachineFixture } from './state-machine-fixture';
import { MemoryContentStore } from './memory-content-store';

/** The tables without their content store, for comparison. */
function valueOf({ tables }: ProgramStateMachine) {
  const { programs, spending, children, orders } = tables;
  return { programs, spending, children, orders };
}

describe('program snapshots', () => {
  let state: StateMachineFixture;

  beforeEach(() => {
    state = new StateMachineFixture();
    state.create('p-1');
    state.create('p-2', 'p-1');
    const first = state.step('p-1', 1, { key: 'a key' });
    state.begin(first);
    state.complete(first, 'one');
    const second = state.step('p-2', 1);
    state.begin(second);
    const input = { program: 'p-2', reason: 'deleted' } as const;
    state.apply({ kind: 'end-program', at: state.now, input });
    state.begin(state.step('p-1', 2));
  });

  it('for another host restore all tables and content texts', async () => {
    const rows: string[] = [];
    for await (const row of state.machine.snapshotForTransfer()) rows.push(row);
    const contents = new MemoryContentStore();
    const copy = new ProgramStateMachine(contents);
    copy.restore(rows);
    expect(valueOf(copy)).toEqual(valueOf(state.machine));
    const [step] = copy.tables.programs.get('p-1')?.steps.values() ?? [];
    expect(step?.state === 'done' && contents.read(step.content)).toContain('one?');
  });

  it('contain the state at capture time, despite later commands', async () => {
    const transfer = state.machine.snapshotForTransfer();
    const before = { ...valueOf(state.machine), programs: new Map(state.machine.tables.programs) };
    const input = { program: 'p-1', reason: 'deleted' } as const;
    state.apply({ kind: 'end-program', at: state.now, input });
    const rows: string[] = [];
    for await (const row of transfer) rows.push(row);
    const copy = new ProgramStateMachine(new MemoryContentStore());
    copy.restore(rows);
    expect(copy.tables.programs).toEqual(before.programs);
  });

  it('for the same host hold locations, and unused files stay until after the flush', async () => {
    const disk = new MemoryDisk();
    const options = { folder: '/contents', fileSystem: disk.mount(), cacheCharacters: 0 };
    const contents = new ContentStore({ ...options, fileBytes: 10 });
    await contents.open();
    const machine = new ProgramStateMachine(contents);
    const rows: string[] = [];
    for await (const row of state.machine.snapshotForTransfer()) rows.push(row);
    machine.restore(rows);
    await machine.flush();
    const local = [...machine.snapshot()];
    expect(local.join()).not.toContain('one?');

    const reopened = new ContentStore(options);
    await reopened.open();
    const again = new ProgramStateMachine(reopened);
    again.restore(local);
    expect(valueOf(again)).toEqual(valueOf(machine));
    const [step] = again.tables.programs.get('p-1')?.steps.values() ?? [];
    expect(step?.state === 'done' && (await reopened.get(step.content))).toContain('one?');

    const command = { kind: 'forget-programs', at: state.now, programs: ['p-1'] } as const;
    again.apply(
      JSON.stringify({
        ...command,
        kind: 'end-program',
        input: { program: 'p-1', reason: 'idle' },
      }),
      99,
    );
    again.apply(JSON.stringify(command), 100);
    expect(await disk.mount().list('/contents')).toHaveLength(1);
    const finish = await again.flush();
    expect(await disk.mount().list('/contents')).toHaveLength(1);
    await finish();
    expect(await disk.mount().list('/contents')).toEqual([]);
  });

  it('drop the contents of purged programs', () => {
    const input = { program: 'p-1', reason: 'deleted' } as const;
    state.apply({ kind: 'end-program', at: state.now, input });
    expect(state.contents.size).toBe(1);
    state.apply({ kind: 'forget-programs', at: state.now, programs: ['p-1'] });
    expect(state.contents.size).toBe(0);
  });
});

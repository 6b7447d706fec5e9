import { StateFixture } from '../../state/tests/fixture';
import { sweepCommands } from '../sweep';

const IDLE = 600_000;
const RETENTION = 60_000;

describe('the sweep', () => {
  let state: StateFixture;

  beforeEach(() => {
    state = new StateFixture();
    state.create('p-1');
  });

  function sweep(after: number) {
    const { tables } = state.machine;
    const commands = sweepCommands(tables, state.now + after, RETENTION);
    for (const command of commands) state.apply(command);
    return commands.map((command) => command.kind);
  }

  it('ends a program that was silent for its idle time, and has its cache released', () => {
    const step = state.step('p-1', 1);
    state.begin(step);
    state.complete(step, 'one');
    expect(sweep(IDLE - 1)).toEqual([]);
    expect(sweep(IDLE)).toEqual(['end-program']);
    expect([...state.machine.tables.orders.values()]).toMatchObject([{ target: 'engine-a' }]);
  });

  it('leaves a program alone while a step runs or a sub-agent lives', () => {
    state.create('p-2', 'p-1');
    const step = state.step('p-2', 1);
    state.begin(step);
    expect(sweep(IDLE * 2)).toEqual([]);
  });

  it('ends a program at its deadline, whatever it does', () => {
    state.begin(state.step('p-1', 1));
    expect(sweep(86_400_000)).toEqual(['end-program']);
    expect(state.spending('p-1')).toMatchObject({ reservedTokens: 0, spentTokens: 200 });
  });

  it('forgets an ended program once no resend is to be expected', () => {
    sweep(IDLE);
    expect(sweep(IDLE + RETENTION)).toEqual([]);
    expect(sweep(IDLE + RETENTION + 1)).toEqual(['forget-programs']);
    expect(state.machine.tables.programs.size).toBe(0);
  });
});

import { StateMachineFixture } from '../../state/tests/state-machine-fixture';
import { sweepCommands } from '../sweep-commands';

const IDLE_MILLISECONDS = 600_000;
const RETENTION_MILLISECONDS = 60_000;

describe('sweepCommands', () => {
  let state: StateMachineFixture;

  beforeEach(() => {
    state = new StateMachineFixture();
    state.create('p-1');
  });

  function sweep(afterMilliseconds: number) {
    const { tables } = state.machine;
    const commands = sweepCommands(tables, state.now + afterMilliseconds, RETENTION_MILLISECONDS);
    for (const command of commands) state.apply(command);
    return commands.map((command) => command.kind);
  }

  it('ends a program at its idle timeout, and orders the release of its cache', () => {
    const step = state.step('p-1', 1);
    state.begin(step);
    state.complete(step, 'one');
    expect(sweep(IDLE_MILLISECONDS - 1)).toEqual([]);
    expect(sweep(IDLE_MILLISECONDS)).toEqual(['end-program']);
    expect([...state.machine.tables.orders.values()]).toMatchObject([{ target: 'engine-a' }]);
  });

  it('does not end a program for idleness while a step runs or a child program is live', () => {
    state.create('p-2', 'p-1');
    const step = state.step('p-2', 1);
    state.begin(step);
    expect(sweep(IDLE_MILLISECONDS * 2)).toEqual([]);
  });

  it('ends a program at its deadline even while a step runs', () => {
    state.begin(state.step('p-1', 1));
    expect(sweep(86_400_000)).toEqual(['end-program']);
    expect(state.spending('p-1')).toMatchObject({ reservedTokens: 0, spentTokens: 200 });
  });

  it('purges an ended program after the retention period', () => {
    sweep(IDLE_MILLISECONDS);
    expect(sweep(IDLE_MILLISECONDS + RETENTION_MILLISECONDS)).toEqual([]);
    expect(sweep(IDLE_MILLISECONDS + RETENTION_MILLISECONDS + 1)).toEqual(['forget-programs']);
    expect(state.machine.tables.programs.size).toBe(0);
  });
});

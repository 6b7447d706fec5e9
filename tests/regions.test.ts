import { INSTANT_ENGINE } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller } from './caller';

describe('regions with one control host each', () => {
  let system: MultiProcessSystem;
  let caller: Caller;

  beforeAll(async () => {
    system = await MultiProcessSystem.start({
      engineSettings: INSTANT_ENGINE,
      entries: 1,
      regions: ['local', 'near', 'far'],
      programGroups: 2,
    });
    caller = new Caller(system.entryUrls[0] ?? '');
  });

  afterAll(async () => {
    await system.stop();
  });

  it('store the programs that start in them', async () => {
    const { groups } = await system.status();
    expect(groups.map(({ group, voters }) => ({ group, voters }))).toEqual([
      { group: 'configuration', voters: ['control-1', 'control-2', 'control-3'] },
      { group: 'far-1', voters: ['control-3'] },
      { group: 'far-2', voters: ['control-3'] },
      { group: 'local-1', voters: ['control-1'] },
      { group: 'local-2', voters: ['control-1'] },
      { group: 'near-1', voters: ['control-2'] },
      { group: 'near-2', voters: ['control-2'] },
    ]);
    for (let count = 0; count < 6; count += 1) {
      expect(await caller.createProgram()).toMatch(/\.local-[12]$/);
    }
  });

  it('continue their programs and accept a new configuration after the loss of another region', async () => {
    const program = await caller.createProgram();
    expect(await caller.sendTurn(program, 1, 'One.')).toMatchObject({ status: 200 });
    const killedHost = system.child('control-3');
    killedHost.signal('SIGKILL');
    await killedHost.exited;
    expect(await caller.sendTurn(program, 2, 'Two.')).toMatchObject({ status: 200 });
    await system.apply();
    const { groups } = await system.status();
    const leaders = new Map(groups.map(({ group, leader }) => [group, leader]));
    expect(leaders.get('far-1')).toBeUndefined();
    expect(leaders.get('local-1')).toBe('control-1');
    await system.restart('control-3');
  });
});

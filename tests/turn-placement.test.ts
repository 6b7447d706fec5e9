import { request } from 'undici';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller } from './caller';

const ENGINE = 'engine-1';

describe('the turn after one that ran while the load of its engine was reported', () => {
  let system: MultiProcessSystem;

  beforeEach(async () => {
    system = await MultiProcessSystem.start({
      engineSettings: { ...INSTANT_ENGINE, 'hold-after-tokens': 20, 'load-lag-milliseconds': 0 },
    });
  });

  afterEach(async () => {
    await system.stop();
  });

  /** Runs a first turn that the engine holds until the leader has heard of the engine's load. */
  async function runReportedTurn(caller: Caller): Promise<string> {
    const address = system.layout.targets.find(({ name }) => name === ENGINE)?.address;
    if (address === undefined)
      throw new Error(`expected target "${ENGINE}" in the layout, found none`);
    const url = `http://${formatAddress(address)}`;
    const program = await caller.createProgram();
    const turn = caller.sendTurn(program, 1, 'Which row? [tokens=40]');
    await request(`${url}/held`);
    await system.until(async () => {
      const { nodes } = await system.status();
      return nodes.some(({ target, load }) => target === ENGINE && load?.running === 1);
    });
    await request(`${url}/release`, { method: 'POST' });
    expect(await turn).toMatchObject({ status: 200 });
    return program;
  }

  function placementOf(program: string, sequence: number, entry: string): unknown {
    return system
      .child(entry)
      .lines.find((line) => line['program'] === program && line['sequence'] === sequence);
  }

  // Guards against a load report that still counts the program's own last turn: the next turn then
  // leaves the engine that caches its history.
  it.each(['entry-1', 'entry-2'])('stays at the engine, through %s', async (entry) => {
    const [first, second] = system.entryUrls.map((url) => new Caller(url));
    if (first === undefined || second === undefined) throw new Error('expected two entries');
    const program = await runReportedTurn(first);
    const caller = entry === 'entry-1' ? first : second;
    expect(await caller.sendTurn(program, 2, 'Thanks.')).toMatchObject({ status: 200 });
    expect(placementOf(program, 2, entry)).toMatchObject({
      choice: ENGINE,
      reason: 'holds-history',
    });
  });

  // Guards against a report that a suspended entry reads after the end of the turn in it.
  it('stays at the engine, through an entry that was suspended meanwhile', async () => {
    const [first, second] = system.entryUrls.map((url) => new Caller(url));
    if (first === undefined || second === undefined) throw new Error('expected two entries');
    system.child('entry-2').signal('SIGSTOP');
    const program = await runReportedTurn(first);
    system.child('entry-2').signal('SIGCONT');
    expect(await second.sendTurn(program, 2, 'Thanks.')).toMatchObject({ status: 200 });
    expect(placementOf(program, 2, 'entry-2')).toMatchObject({
      choice: ENGINE,
      reason: 'holds-history',
    });
  });
});

import { type LocalSystem, type StandInSettings } from '../src/local';
import { Caller, contentOf } from './caller';
import { startTestSystem } from './local-system';

describe('targets that fail', () => {
  let system: LocalSystem | undefined;

  afterEach(async () => {
    await system?.lifeCycle.stop();
    system = undefined;
  });

  async function start(engine: StandInSettings, plain: StandInSettings = {}): Promise<Caller> {
    system = await startTestSystem(3, { engineSettings: engine, plainSettings: plain });
    return new Caller(system.entryUrl);
  }

  /** Each engine breaks off its first stream. */
  const BREAKS = { 'break-after-tokens': 3, 'break-count': 1 };

  describe('an engine that breaks off', () => {
    it('leaves nothing behind: the caller asks again and gets the whole answer', async () => {
      const healthy = await start({});
      const undisturbed = await healthy.turn(await healthy.createProgram(), 1, 'Which row?');
      await system?.lifeCycle.stop();
      const caller = await start(BREAKS);
      const program = await caller.createProgram();
      const first = await caller.turn(program, 1, 'Which row?');
      expect(first).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
      const second = await caller.turn(program, 1, 'Which row?');
      expect(contentOf(second)).toBe(contentOf(undisturbed));
      expect(await caller.program(program)).toMatchObject({ message_count: 2 });
    });

    it('never gives a streaming caller an answer put together from two', async () => {
      const caller = await start(BREAKS);
      const program = await caller.createProgram();
      const broken = await caller.turn(program, 1, 'Which row?', { stream: true });
      expect(broken.text).toContain('"code":"target-failed"');
      expect(broken.text).not.toContain('[DONE]');
      expect(broken.text.match(/"content"/g)).toHaveLength(3);
      expect(await caller.program(program)).toMatchObject({ message_count: 0, next_sequence: 1 });
    });

    it('counts what it may have used as spent', async () => {
      const caller = await start(BREAKS);
      const program = await caller.createProgram();
      await caller.turn(program, 1, 'Which row?', { stream: true });
      const { budget } = (await caller.program(program)) as {
        readonly budget: Readonly<Record<string, number>>;
      };
      expect(budget['tokens_reserved']).toBe(0);
      expect(budget['tokens_spent']).toBeGreaterThan(0);
    });
  });

  describe('an engine that answers 500', () => {
    it('is tried elsewhere, and refused with Retry-After when all do', async () => {
      const caller = await start({ 'fail-status': 500 });
      const reply = await caller.turn(await caller.createProgram(), 1, 'Which row?');
      expect(reply).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
    });
  });

  describe('a service that loses its answer', () => {
    it('is never asked again for a call that may not be repeated', async () => {
      const caller = await start({}, { 'lose-answers': 1 });
      const program = await caller.createProgram();
      expect(await caller.fee(program, 1)).toMatchObject({ status: 502, outcome: 'unknown' });
      expect(await caller.fee(program, 1)).toMatchObject({ status: 502, outcome: 'unknown' });
      expect(await caller.executions()).toBe(1);
      expect(await caller.fee(program, 2)).toMatchObject({ status: 200 });
      expect(await caller.executions()).toBe(2);
    });
  });

  describe('a service that drops a call before it runs', () => {
    it('leaves the outcome unknown, and the call is not run later', async () => {
      const caller = await start({}, { 'lose-calls': 1 });
      const program = await caller.createProgram();
      expect(await caller.fee(program, 1)).toMatchObject({ outcome: 'unknown' });
      expect(await caller.fee(program, 1)).toMatchObject({ outcome: 'unknown' });
      expect(await caller.executions()).toBe(0);
    });
  });
});

import { type LocalSystem, type StandInSettings } from '../src/local';
import { Caller, completionTextOf } from './caller';
import { startTestSystem } from './local-system';

describe('failing targets', () => {
  let system: LocalSystem | undefined;

  afterEach(async () => {
    await system?.lifeCycle.stop();
    system = undefined;
  });

  async function start(engine: StandInSettings, plain: StandInSettings = {}): Promise<Caller> {
    system = await startTestSystem(3, { engineSettings: engine, plainSettings: plain });
    return new Caller(system.entryUrl);
  }

  /** Each engine aborts its first stream. */
  const STREAM_ABORTS = { 'break-after-tokens': 3, 'break-count': 1 };

  describe('an engine that aborts its stream', () => {
    it('leaves no partial history: the repeated request gets the complete response', async () => {
      const healthy = await start({});
      const expected = await healthy.sendTurn(await healthy.createProgram(), 1, 'Which row?');
      await system?.lifeCycle.stop();
      const caller = await start(STREAM_ABORTS);
      const program = await caller.createProgram();
      const first = await caller.sendTurn(program, 1, 'Which row?');
      expect(first).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
      const second = await caller.sendTurn(program, 1, 'Which row?');
      expect(completionTextOf(second)).toBe(completionTextOf(expected));
      expect(await caller.getProgram(program)).toMatchObject({ message_count: 2 });
    });

    it('ends the stream of the caller with an error instead of a second attempt', async () => {
      const caller = await start(STREAM_ABORTS);
      const program = await caller.createProgram();
      const broken = await caller.sendTurn(program, 1, 'Which row?', { stream: true });
      expect(broken.text).toContain('"code":"target-failed"');
      expect(broken.text).not.toContain('[DONE]');
      expect(broken.text.match(/"content"/g)).toHaveLength(3);
      expect(await caller.getProgram(program)).toMatchObject({
        message_count: 0,
        next_sequence: 1,
      });
    });

    it('has the tokens that it may have used counted as spent', async () => {
      const caller = await start(STREAM_ABORTS);
      const program = await caller.createProgram();
      await caller.sendTurn(program, 1, 'Which row?', { stream: true });
      const { budget } = (await caller.getProgram(program)) as {
        readonly budget: Readonly<Record<string, number>>;
      };
      expect(budget['tokens_reserved']).toBe(0);
      expect(budget['tokens_spent']).toBeGreaterThan(0);
    });
  });

  describe('an engine that answers 500', () => {
    it('gives 503 with Retry-After once all engines have failed', async () => {
      const caller = await start({ 'fail-status': 500 });
      const response = await caller.sendTurn(await caller.createProgram(), 1, 'Which row?');
      expect(response).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
    });
  });

  describe('a service whose response is lost', () => {
    it('gets a non-repeatable call only once', async () => {
      const caller = await start({}, { 'lose-answers': 1 });
      const program = await caller.createProgram();
      expect(await caller.chargeBagFee(program, 1)).toMatchObject({
        status: 502,
        outcome: 'unknown',
      });
      expect(await caller.chargeBagFee(program, 1)).toMatchObject({
        status: 502,
        outcome: 'unknown',
      });
      expect(await caller.countExecutions()).toBe(1);
      expect(await caller.chargeBagFee(program, 2)).toMatchObject({ status: 200 });
      expect(await caller.countExecutions()).toBe(2);
    });
  });

  describe('a service that drops a call before running it', () => {
    it('leaves the outcome unknown, and the call does not run later', async () => {
      const caller = await start({}, { 'lose-calls': 1 });
      const program = await caller.createProgram();
      expect(await caller.chargeBagFee(program, 1)).toMatchObject({ outcome: 'unknown' });
      expect(await caller.chargeBagFee(program, 1)).toMatchObject({ outcome: 'unknown' });
      expect(await caller.countExecutions()).toBe(0);
    });
  });
});

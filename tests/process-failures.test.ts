import { request } from 'undici';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller, completionTextOf } from './caller';

/** Less than the maximum time for which a leader keeps a waiting call open. */
const SUSPENSION_DEADLINE_MILLISECONDS = 9000;

/** Short sessions, so that the failure of a process is detected soon. */
const SHORT_SESSION_SETTINGS = {
  controlSettings: { 'session-milliseconds': 400 },
  entrySettings: { 'heartbeat-milliseconds': 100 },
  sidecarSettings: { 'heartbeat-milliseconds': 100 },
};

describe('processes that fail', () => {
  let system: MultiProcessSystem;

  afterEach(async () => {
    await system.stop();
  });

  function callers(): readonly [Caller, Caller] {
    const [first = '', second = ''] = system.entryUrls;
    return [new Caller(first), new Caller(second)];
  }

  function standInUrl(target: string): string {
    const address = system.layout.targets.find((entry) => entry.name === target)?.address;
    if (address === undefined)
      throw new Error(`expected target "${target}" in the layout, found none`);
    return `http://${formatAddress(address)}`;
  }

  async function kill(name: string): Promise<void> {
    const child = system.child(name);
    child.signal('SIGKILL');
    await child.exited;
  }

  describe('an entry killed during a turn', () => {
    it('lets another entry complete the turn once, with an intact history', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSION_SETTINGS,
        engineSettings: { ...INSTANT_ENGINE, 'hold-after-tokens': 20 },
      });
      const [first, second] = callers();
      const program = await first.createProgram();
      const lostCall = first.sendTurn(program, 1, 'Which row? [tokens=40]').catch(() => 'lost');
      const engines = ['engine-1', 'engine-2'].map(standInUrl);
      await Promise.race(engines.map((url) => request(`${url}/held`)));
      await kill('entry-1');
      expect(await lostCall).toBe('lost');
      for (const url of engines) await request(`${url}/release`, { method: 'POST' });
      const response = await second.sendTurn(program, 1, 'Which row? [tokens=40]');
      expect(completionTextOf(response).split(' ')).toHaveLength(40);
      expect(await second.getProgram(program)).toMatchObject({
        message_count: 2,
        next_sequence: 2,
      });
      await system.restart('entry-1');
    });
  });

  describe('an entry killed during a non-repeatable call', () => {
    it('gives the response to the repeated request, and the call runs once', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSION_SETTINGS,
        plainSettings: { 'hold-from-call': 1 },
      });
      const [first, second] = callers();
      const program = await first.createProgram();
      const lostCall = first.chargeBagFee(program, 1).catch(() => 'lost');
      await request(`${standInUrl('check-in-1')}/held`);
      await kill('entry-1');
      expect(await lostCall).toBe('lost');
      const early = await second.chargeBagFee(program, 1);
      expect(early).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
      await request(`${standInUrl('check-in-1')}/release`, { method: 'POST' });
      let response = await second.chargeBagFee(program, 1);
      while (response.status === 503) response = await second.chargeBagFee(program, 1);
      expect(response.status).toBe(200);
      expect(JSON.parse(response.text)).toMatchObject({ execution: 1 });
      expect(await second.countExecutions()).toBe(1);
      await system.restart('entry-1');
    });
  });

  describe('the leading control host killed', () => {
    it('is replaced by another leader, and a program continues without loss', async () => {
      system = await MultiProcessSystem.start({ engineSettings: INSTANT_ENGINE });
      const [first, second] = callers();
      const program = await first.createProgram();
      expect(await first.sendTurn(program, 1, 'One.')).toMatchObject({ status: 200 });
      expect(await second.chargeBagFee(program, 2)).toMatchObject({ status: 200 });
      const before = await system.groupOf(program);
      const { configuration } = await system.status();
      await kill(before.leader);
      expect(await first.sendTurn(program, 3, 'Three.')).toMatchObject({ status: 200 });
      const repeated = await second.chargeBagFee(program, 2);
      expect(JSON.parse(repeated.text)).toMatchObject({ execution: 1 });
      const after = await system.groupOf(program);
      expect(after.leader).not.toBe(before.leader);
      expect(after.term).toBeGreaterThan(before.term);
      expect(await system.status()).toMatchObject({ configuration });
      await system.restart(before.leader);
    });
  });

  describe('the leading control host suspended past its lease', () => {
    it('is deposed and changes nothing after it resumes', async () => {
      system = await MultiProcessSystem.start({ engineSettings: INSTANT_ENGINE });
      const [first, second] = callers();
      const program = await first.createProgram();
      const { leader, term } = await system.groupOf(program);
      system.child(leader).signal('SIGSTOP');
      const deadline = { 'martenbay-deadline': String(SUSPENSION_DEADLINE_MILLISECONDS) };
      const response = await first.sendTurn(program, 1, 'One.', {}, deadline);
      expect(response).toMatchObject({ status: 200 });
      system.child(leader).signal('SIGCONT');
      expect(await second.sendTurn(program, 2, 'Two.')).toMatchObject({ status: 200 });
      const after = await system.groupOf(program);
      expect(after.term).toBeGreaterThan(term);
      expect(await second.getProgram(program)).toMatchObject({ message_count: 4 });
    });
  });

  describe('a sidecar killed', () => {
    it('gets no calls after its session expires, and gets them again after a restart', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSION_SETTINGS,
        engineSettings: INSTANT_ENGINE,
      });
      const [first] = callers();
      await kill('sidecar-engine-1');
      expect(await first.sendTurn(await first.createProgram(), 1, 'One.')).toMatchObject({
        status: 200,
      });
      await system.untilTargetsServing(system.layout.targets.length - 1);
      await system.restart('sidecar-engine-1');
      await system.untilTargetsServing();
    });
  });
});

import { request } from 'undici';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Caller, contentOf } from './caller';

/** Less than the longest time for which a leader holds a call that waits. */
const FROZEN_DEADLINE_MILLISECONDS = 9000;

/** Sessions end soon after a process does, so that another takes its work over soon. */
const SHORT_SESSIONS = {
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
    if (address === undefined) throw new Error(`no target ${target}`);
    return `http://${formatAddress(address)}`;
  }

  async function kill(name: string): Promise<void> {
    const child = system.child(name);
    child.signal('SIGKILL');
    await child.exited;
  }

  describe('an entry killed in the middle of a turn', () => {
    it('is replaced by another, with the history whole and one answer', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSIONS,
        engineSettings: { ...INSTANT_ENGINE, 'hold-after-tokens': 20 },
      });
      const [first, second] = callers();
      const program = await first.createProgram();
      const lost = first.turn(program, 1, 'Which row? [tokens=40]').catch(() => 'lost');
      const engines = ['engine-1', 'engine-2'].map(standInUrl);
      await Promise.race(engines.map((url) => request(`${url}/held`)));
      await kill('entry-1');
      expect(await lost).toBe('lost');
      for (const url of engines) await request(`${url}/release`, { method: 'POST' });
      const answer = await second.turn(program, 1, 'Which row? [tokens=40]');
      expect(contentOf(answer).split(' ')).toHaveLength(40);
      expect(await second.program(program)).toMatchObject({
        message_count: 2,
        next_sequence: 2,
      });
      await system.restart('entry-1');
    });
  });

  describe('an entry killed while a call that may not be repeated runs', () => {
    it('leaves the answer to the resend, and the call runs once', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSIONS,
        plainSettings: { 'hold-from-call': 1 },
      });
      const [first, second] = callers();
      const program = await first.createProgram();
      const lost = first.fee(program, 1).catch(() => 'lost');
      await request(`${standInUrl('check-in-1')}/held`);
      await kill('entry-1');
      expect(await lost).toBe('lost');
      const early = await second.fee(program, 1);
      expect(early).toMatchObject({ status: 503, outcome: 'unknown', retryAfter: '1' });
      await request(`${standInUrl('check-in-1')}/release`, { method: 'POST' });
      let reply = await second.fee(program, 1);
      while (reply.status === 503) reply = await second.fee(program, 1);
      expect(reply.status).toBe(200);
      expect(JSON.parse(reply.text)).toMatchObject({ execution: 1 });
      expect(await second.executions()).toBe(1);
      await system.restart('entry-1');
    });
  });

  describe('the leading control host killed', () => {
    it('is replaced, and a program goes on with nothing lost', async () => {
      system = await MultiProcessSystem.start({ engineSettings: INSTANT_ENGINE });
      const [first, second] = callers();
      const program = await first.createProgram();
      expect(await first.turn(program, 1, 'One.')).toMatchObject({ status: 200 });
      expect(await second.fee(program, 2)).toMatchObject({ status: 200 });
      const before = await system.groupOf(program);
      const { configuration } = await system.status();
      await kill(before.leader);
      expect(await first.turn(program, 3, 'Three.')).toMatchObject({ status: 200 });
      const again = await second.fee(program, 2);
      expect(JSON.parse(again.text)).toMatchObject({ execution: 1 });
      const after = await system.groupOf(program);
      expect(after.leader).not.toBe(before.leader);
      expect(after.term).toBeGreaterThan(before.term);
      expect(await system.status()).toMatchObject({ configuration });
      await system.restart(before.leader);
    });
  });

  describe('the leading control host frozen past its lease', () => {
    it('changes nothing when it wakes', async () => {
      system = await MultiProcessSystem.start({ engineSettings: INSTANT_ENGINE });
      const [first, second] = callers();
      const program = await first.createProgram();
      const { leader, term } = await system.groupOf(program);
      system.child(leader).signal('SIGSTOP');
      const deadline = { 'martenbay-deadline': String(FROZEN_DEADLINE_MILLISECONDS) };
      const answer = await first.turn(program, 1, 'One.', {}, deadline);
      expect(answer).toMatchObject({ status: 200 });
      system.child(leader).signal('SIGCONT');
      expect(await second.turn(program, 2, 'Two.')).toMatchObject({ status: 200 });
      const after = await system.groupOf(program);
      expect(after.term).toBeGreaterThan(term);
      expect(await second.program(program)).toMatchObject({ message_count: 4 });
    });
  });

  describe('a sidecar killed', () => {
    it('gets no call once its session is over, and is back after its restart', async () => {
      system = await MultiProcessSystem.start({
        ...SHORT_SESSIONS,
        engineSettings: INSTANT_ENGINE,
      });
      const [first] = callers();
      await kill('sidecar-engine-1');
      expect(await first.turn(await first.createProgram(), 1, 'One.')).toMatchObject({
        status: 200,
      });
      await system.untilTargetsServing(system.layout.targets.length - 1);
      await system.restart('sidecar-engine-1');
      await system.untilTargetsServing();
    });
  });
});

import { type LocalSystem } from '../src/local';
import { Caller, type Reply, contentOf } from './caller';
import { startTestSystem } from './local-system';

describe("a program's calls", () => {
  let system: LocalSystem;
  let caller: Caller;

  beforeAll(async () => {
    system = await startTestSystem(5);
    caller = new Caller(system.entryUrl);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
  });

  it('run in the order of their sequences, whatever the order they arrive in', async () => {
    const ordered = await caller.createProgram();
    const expected: string[] = [];
    for (const sequence of [1, 2, 3]) {
      expected.push(contentOf(await caller.turn(ordered, sequence, `message ${sequence}`)));
    }
    const shuffled = await caller.createProgram();
    const replies = await Promise.all(
      [3, 2, 1].map((sequence) => caller.turn(shuffled, sequence, `message ${sequence}`)),
    );
    expect(replies.reverse().map(contentOf)).toEqual(expected);
  });

  it('run once when the same sequence is sent again, even at the same time', async () => {
    const program = await caller.createProgram();
    const before = await caller.executions();
    const replies = await Promise.all(
      [1, 1, 1, 1].map((sequence) => caller.fee(program, sequence)),
    );
    expect(new Set(replies.map((reply) => reply.text)).size).toBe(1);
    expect(await caller.executions()).toBe(before + 1);
  });

  it('run once for one idempotency key, with a program or without', async () => {
    const before = await caller.executions();
    const program = await caller.createProgram();
    const send = (headers: Readonly<Record<string, string>>) =>
      caller.send('/services/check-in/bag-fees', { headers, body: { bag: 2 } });
    const key = { 'idempotency-key': 'fee-17' };
    const alone = await Promise.all([send(key), send(key)]);
    const within = { ...key, 'martenbay-program': program };
    const replies = [await send(within), await send(within)];
    expect(new Set(alone.map((reply) => reply.text)).size).toBe(1);
    expect(new Set(replies.map((reply) => reply.text)).size).toBe(1);
    expect(await caller.executions()).toBe(before + 2);
  });

  it('are refused as not run when an earlier one does not arrive in time', async () => {
    const program = await caller.createProgram();
    const reply = await caller.send('/v1/chat/completions', {
      headers: {
        'martenbay-program': program,
        'martenbay-sequence': '2',
        'martenbay-deadline': '1',
      },
      body: { model: 'stand-in', messages: [{ role: 'user', content: 'x' }] },
    });
    expect(reply).toMatchObject({ status: 409, outcome: 'not-run' });
    expect(reply.text).toContain('earlier-step-missing');
  });

  it('create one program for one idempotency key', async () => {
    const headers = { 'idempotency-key': 'start-4' };
    const create = () => caller.send('/v1/programs', { headers, body: {} });
    const replies: readonly Reply[] = await Promise.all([create(), create()]);
    expect(new Set(replies.map((reply) => reply.text)).size).toBe(1);
  });
});

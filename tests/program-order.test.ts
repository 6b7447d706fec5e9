import { type LocalSystem } from '../src/local';
import { Caller, type CallResponse, completionTextOf } from './caller';
import { startTestSystem } from './local-system';

describe('the calls of a program', () => {
  let system: LocalSystem;
  let caller: Caller;

  beforeAll(async () => {
    system = await startTestSystem(5);
    caller = new Caller(system.entryUrl);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
  });

  it('run in the order of their sequence numbers, whatever the order of arrival', async () => {
    const ordered = await caller.createProgram();
    const expected: string[] = [];
    for (const sequence of [1, 2, 3]) {
      expected.push(
        completionTextOf(await caller.sendTurn(ordered, sequence, `message ${sequence}`)),
      );
    }
    const shuffled = await caller.createProgram();
    const responses = await Promise.all(
      [3, 2, 1].map((sequence) => caller.sendTurn(shuffled, sequence, `message ${sequence}`)),
    );
    expect(responses.reverse().map(completionTextOf)).toEqual(expected);
  });

  it('run once for repeated requests with the same sequence number, also concurrent ones', async () => {
    const program = await caller.createProgram();
    const before = await caller.countExecutions();
    const responses = await Promise.all(
      [1, 1, 1, 1].map((sequence) => caller.chargeBagFee(program, sequence)),
    );
    expect(new Set(responses.map((response) => response.text)).size).toBe(1);
    expect(await caller.countExecutions()).toBe(before + 1);
  });

  it('run once for each idempotency key, with a program or without', async () => {
    const before = await caller.countExecutions();
    const program = await caller.createProgram();
    const send = (headers: Readonly<Record<string, string>>) =>
      caller.send('/services/check-in/bag-fees', { headers, body: { bag: 2 } });
    const key = { 'idempotency-key': 'fee-17' };
    const standalone = await Promise.all([send(key), send(key)]);
    const within = { ...key, 'martenbay-program': program };
    const responses = [await send(within), await send(within)];
    expect(new Set(standalone.map((response) => response.text)).size).toBe(1);
    expect(new Set(responses.map((response) => response.text)).size).toBe(1);
    expect(await caller.countExecutions()).toBe(before + 2);
  });

  it('are refused with outcome not-run if an earlier call does not arrive within the deadline', async () => {
    const program = await caller.createProgram();
    const response = await caller.send('/v1/chat/completions', {
      headers: {
        'martenbay-program': program,
        'martenbay-sequence': '2',
        'martenbay-deadline': '1',
      },
      body: { model: 'stand-in', messages: [{ role: 'user', content: 'x' }] },
    });
    expect(response).toMatchObject({ status: 409, outcome: 'not-run' });
    expect(response.text).toContain('earlier-step-missing');
  });

  it('create one program for each idempotency key', async () => {
    const headers = { 'idempotency-key': 'start-4' };
    const create = () => caller.send('/v1/programs', { headers, body: {} });
    const responses: readonly CallResponse[] = await Promise.all([create(), create()]);
    expect(new Set(responses.map((response) => response.text)).size).toBe(1);
  });
});

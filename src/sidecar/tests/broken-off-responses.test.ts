import { request } from 'undici';
import { type ScriptedResponse, ScriptedServer } from '../../../stand-ins';
import { LifeCycle, Metrics, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { findFreeAddresses } from '../../local';
import { HttpListener } from '../../protocol';
import { TargetClient } from '../target-client';
import { TargetProxy } from '../target-proxy';

const CREDENTIAL = 'process-credential';

const STREAM = { contentType: 'text/event-stream', framing: 'connection' } as const;

const BROKEN_OFF: readonly ScriptedResponse[] = [
  { framing: 'connection', body: ['part'], ending: 'reset' },
  { framing: 'chunked', body: ['part'], ending: 'reset' },
  { framing: 'chunked', body: ['part'], ending: 'close' },
  { framing: 'length', body: ['part'], ending: 'reset' },
  { framing: 'length', body: ['part'], ending: 'close' },
  { ...STREAM, body: ['data: a\n\n', 'data: b'], ending: 'close' },
  { ...STREAM, framing: 'chunked', body: ['data: a\n\n', 'data: b'], ending: 'complete' },
  { ...STREAM, framing: 'length', body: ['data: a\n\n', 'data: b'], ending: 'complete' },
];

const WHOLE: readonly ScriptedResponse[] = [
  { framing: 'connection', body: ['who', 'le'], ending: 'complete' },
  { framing: 'chunked', body: ['who', 'le'], ending: 'complete' },
  { framing: 'length', body: ['who', 'le'], ending: 'complete' },
  { ...STREAM, body: ['data: a\n', '\ndata: b\n\n'], ending: 'complete' },
];

// Guards against a response that the target broke off being delivered, or kept, as a complete one.
describe('a response of a target to its sidecar', () => {
  let lifeCycle: LifeCycle;
  let target: ScriptedServer;
  let url: string;

  beforeEach(async () => {
    const [address, targetAddress] = await findFreeAddresses(['127.0.0.1', '127.0.0.1']);
    if (address === undefined || targetAddress === undefined)
      throw new Error('findFreeAddresses returned fewer than 2 addresses');
    url = `http://${formatAddress(address)}`;
    const client = new TargetClient(targetAddress, new SystemClock());
    const proxy = new TargetProxy({
      client,
      incarnation: 'second',
      credential: CREDENTIAL,
      maxConcurrentCalls: 2,
      logger: createSilentLogger(),
      metrics: new Metrics(),
      load: () => ({ running: 0, waiting: 0 }),
    });
    target = new ScriptedServer(targetAddress);
    lifeCycle = new LifeCycle();
    lifeCycle.add('target', target);
    lifeCycle.add('client', client);
    const handle = proxy.handle.bind(proxy);
    lifeCycle.add('listener', new HttpListener({ address, handle }));
    await lifeCycle.start();
  });

  afterEach(() => lifeCycle.stop());

  const post = (path: string, headers: Readonly<Record<string, string>>) =>
    request(`${url}${path}`, {
      method: 'POST',
      headers: { 'martenbay-credential': CREDENTIAL, ...headers },
      body: 'x',
    });

  const callOnce = async (script: ScriptedResponse, attempt: string) => {
    target.scripts.push(script);
    const headers = { 'martenbay-attempt': attempt, 'martenbay-claim': 'second' };
    const response = await post('/target/fees', headers);
    const body = await response.body.text();
    return { status: response.statusCode, outcome: response.headers['martenbay-outcome'], body };
  };

  const stateOf = async (attempt: string) => {
    const response = await post(`/attempts/${attempt}`, { 'martenbay-claim': 'second' });
    return ((await response.body.json()) as { readonly state: string }).state;
  };

  const callRepeatable = async (script: ScriptedResponse) => {
    target.scripts.push(script);
    const response = await post('/target/reads', { 'martenbay-attempt': 'a' });
    try {
      return { status: response.statusCode, body: await response.body.text() };
    } catch {
      return 'broken off';
    }
  };

  describe('that may not be repeated', () => {
    it('is reported as perhaps run and not kept, if the target broke it off', async () => {
      for (const [index, script] of BROKEN_OFF.entries()) {
        const attempt = `broken-off-${index}`;
        const { status, outcome } = await callOnce(script, attempt);
        const seen = { script, status, outcome, state: await stateOf(attempt) };
        expect(seen).toEqual({ script, status: 502, outcome: 'unknown', state: 'unknown' });
      }
    });

    it('is delivered and kept, if it is whole', async () => {
      for (const [index, script] of WHOLE.entries()) {
        const attempt = `whole-${index}`;
        const { status, body } = await callOnce(script, attempt);
        const seen = { script, status, body, state: await stateOf(attempt) };
        expect(seen).toEqual({
          script,
          status: 200,
          body: script.body.join(''),
          state: 'answered',
        });
      }
    });
  });

  describe('that may be repeated', () => {
    it('is incomplete for the entry, if the target broke it off', async () => {
      for (const script of BROKEN_OFF)
        expect([script, await callRepeatable(script)]).toEqual([script, 'broken off']);
    });

    it('is streamed, if it is whole', async () => {
      for (const script of WHOLE) {
        const whole = { status: 200, body: script.body.join('') };
        expect([script, await callRepeatable(script)]).toEqual([script, whole]);
      }
    });
  });
});

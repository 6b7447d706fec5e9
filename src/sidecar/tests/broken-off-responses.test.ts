import { request } from 'undici';
import {
  BROKEN_OFF_RESPONSES,
  type ScriptedResponse,
  ScriptedServer,
  WHOLE_RESPONSES,
} from '../../../stand-ins';
import { CREDENTIAL, INCARNATION, type ProxyFixture, startProxy } from './proxy-fixture';

// Guards against a response that the target broke off being delivered, or kept, as a complete one.
describe('a response of a target to its sidecar', () => {
  let fixture: ProxyFixture;
  let target: ScriptedServer;

  beforeEach(async () => {
    fixture = await startProxy((address) => {
      target = new ScriptedServer(address);
      return target;
    });
  });

  afterEach(() => fixture.lifeCycle.stop());

  const post = (path: string, headers: Readonly<Record<string, string>>) =>
    request(`${fixture.url}${path}`, {
      method: 'POST',
      headers: { 'martenbay-credential': CREDENTIAL, ...headers },
      body: 'x',
    });

  const callOnce = async (script: ScriptedResponse, attempt: string) => {
    target.scripts.push(script);
    const headers = { 'martenbay-attempt': attempt, 'martenbay-claim': INCARNATION };
    const response = await post('/target/fees', headers);
    const body = await response.body.text();
    return { status: response.statusCode, outcome: response.headers['martenbay-outcome'], body };
  };

  const stateOf = async (attempt: string) => {
    const response = await post(`/attempts/${attempt}`, { 'martenbay-claim': INCARNATION });
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

  // Guards against a response without end that a sidecar reads until its target ends it.
  describe('that does not end', () => {
    it('is reported as perhaps run, and its connection is closed', async () => {
      const sentBytes = new Promise<number>((resolve) => {
        const endless = 'x'.repeat(64 * 1024);
        const script = { framing: 'chunked', body: [], endless, ending: 'reset' } as const;
        target.scripts.push({ ...script, onClosed: resolve });
      });
      const headers = { 'martenbay-attempt': 'endless', 'martenbay-claim': INCARNATION };
      const response = await post('/target/fees', headers);
      expect(response.statusCode).toBe(502);
      expect(response.headers['martenbay-outcome']).toBe('unknown');
      expect(await stateOf('endless')).toBe('unknown');
      expect(await sentBytes).toBeLessThan(16 * 1024 * 1024);
    });
  });

  describe('that may not be repeated', () => {
    it('is reported as perhaps run and not kept, if the target broke it off', async () => {
      for (const [index, script] of BROKEN_OFF_RESPONSES.entries()) {
        const attempt = `broken-off-${index}`;
        const { status, outcome } = await callOnce(script, attempt);
        const seen = { script, status, outcome, state: await stateOf(attempt) };
        expect(seen).toEqual({ script, status: 502, outcome: 'unknown', state: 'unknown' });
      }
    });

    it('is delivered and kept, if it is whole', async () => {
      for (const [index, script] of WHOLE_RESPONSES.entries()) {
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
      for (const script of BROKEN_OFF_RESPONSES)
        expect([script, await callRepeatable(script)]).toEqual([script, 'broken off']);
    });

    it('is streamed, if it is whole', async () => {
      for (const script of WHOLE_RESPONSES) {
        const whole = { status: 200, body: script.body.join('') };
        expect([script, await callRepeatable(script)]).toEqual([script, whole]);
      }
    });
  });
});

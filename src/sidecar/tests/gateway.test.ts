import { request } from 'undici';
import { PlainServer, plainSettingsSchema } from '../../../stand-ins';
import { LifeCycle, Metrics, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { findFreeAddresses } from '../../local';
import { HttpListener } from '../../protocol';
import { Gateway } from '../gateway';
import { TargetClient } from '../target-client';

const CREDENTIAL = 'process-credential';

describe('the gateway of a sidecar', () => {
  const clock = new SystemClock();
  let lifeCycle: LifeCycle;
  let url: string;
  let gateway: Gateway;

  beforeEach(async () => {
    const [own, target] = await findFreeAddresses(['127.0.0.1', '127.0.0.1']);
    if (own === undefined || target === undefined) throw new Error('no free address');
    url = `http://${formatAddress(own)}`;
    const client = new TargetClient(target, clock);
    gateway = new Gateway({
      client,
      incarnation: 'second',
      credential: CREDENTIAL,
      callsAtOnce: 2,
      logger: createSilentLogger(),
      metrics: new Metrics(),
      load: () => ({ running: 0, waiting: 0 }),
    });
    lifeCycle = new LifeCycle();
    lifeCycle.add(
      'target',
      new PlainServer(plainSettingsSchema.parse({ address: formatAddress(target) }), clock),
    );
    lifeCycle.add('client', client);
    lifeCycle.add(
      'listener',
      new HttpListener({
        address: own,
        handle: (incoming, response) => {
          gateway.handle(incoming, response);
        },
      }),
    );
    await lifeCycle.start();
  });

  afterEach(async () => {
    await lifeCycle.stop();
  });

  async function send(path: string, headers: Readonly<Record<string, string>>) {
    const answer = await request(`${url}${path}`, {
      method: 'POST',
      headers: { 'martenbay-credential': CREDENTIAL, ...headers },
      body: 'x',
    });
    const body = (await answer.body.json()) as Readonly<Record<string, unknown>>;
    return { status: answer.statusCode, outcome: answer.headers['martenbay-outcome'], body };
  }

  function call(attempt: string, claim = 'second') {
    return send('/target/fees', { 'martenbay-attempt': attempt, 'martenbay-claim': claim });
  }

  function settle(attempt: string, claim = 'second') {
    return send(`/attempts/${attempt}`, { 'martenbay-claim': claim });
  }

  it('refuses whoever does not show the credential', async () => {
    const refused = await send('/target/fees', { 'martenbay-credential': 'guess' });
    expect(refused).toMatchObject({ status: 401, outcome: 'not-run' });
  });

  it('runs an attempt once, and does not say of a second one that it did not run', async () => {
    expect(await call('a')).toMatchObject({ status: 200, body: { execution: 1 } });
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'unknown' });
    expect(await settle('a')).toMatchObject({ body: { state: 'answered' } });
  });

  it('never runs an attempt that was revoked', async () => {
    expect(await settle('a')).toMatchObject({ body: { state: 'revoked' } });
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'not-run' });
  });

  it('refuses a claim at an earlier incarnation, and knows nothing of its attempts', async () => {
    expect(await call('a', 'first')).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(await settle('b', 'first')).toMatchObject({ body: { state: 'unknown' } });
  });

  it('refuses calls once it drains', async () => {
    await gateway.drain();
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'not-run' });
  });
});

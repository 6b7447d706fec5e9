import { request } from 'undici';
import { PlainServer, plainSettingsSchema } from '../../../stand-ins';
import { LifeCycle, Metrics, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { findFreeAddresses } from '../../local';
import { HttpListener } from '../../protocol';
import { TargetProxy } from '../target-proxy';
import { TargetClient } from '../target-client';

const CREDENTIAL = 'process-credential';

describe('TargetProxy', () => {
  const clock = new SystemClock();
  let lifeCycle: LifeCycle;
  let url: string;
  let proxy: TargetProxy;

  beforeEach(async () => {
    const [proxyAddress, target] = await findFreeAddresses(['127.0.0.1', '127.0.0.1']);
    if (proxyAddress === undefined || target === undefined)
      throw new Error('findFreeAddresses returned fewer than 2 addresses');
    url = `http://${formatAddress(proxyAddress)}`;
    const client = new TargetClient(target, clock);
    proxy = new TargetProxy({
      client,
      incarnation: 'second',
      credential: CREDENTIAL,
      maxConcurrentCalls: 2,
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
        address: proxyAddress,
        handle: (incoming, response) => {
          proxy.handle(incoming, response);
        },
      }),
    );
    await lifeCycle.start();
  });

  afterEach(async () => {
    await lifeCycle.stop();
  });

  async function send(path: string, headers: Readonly<Record<string, string>>) {
    const reply = await request(`${url}${path}`, {
      method: 'POST',
      headers: { 'martenbay-credential': CREDENTIAL, ...headers },
      body: 'x',
    });
    const body = (await reply.body.json()) as Readonly<Record<string, unknown>>;
    return { status: reply.statusCode, outcome: reply.headers['martenbay-outcome'], body };
  }

  function call(attempt: string, claim = 'second') {
    return send('/target/fees', { 'martenbay-attempt': attempt, 'martenbay-claim': claim });
  }

  function revoke(attempt: string, claim = 'second') {
    return send(`/attempts/${attempt}`, { 'martenbay-claim': claim });
  }

  it('refuses a call without the process credential as not run', async () => {
    const refused = await send('/target/fees', { 'martenbay-credential': 'guess' });
    expect(refused).toMatchObject({ status: 401, outcome: 'not-run' });
  });

  it('runs an attempt once, and reports the outcome of a duplicate as unknown', async () => {
    expect(await call('a')).toMatchObject({ status: 200, body: { execution: 1 } });
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'unknown' });
    expect(await revoke('a')).toMatchObject({ body: { state: 'answered' } });
  });

  it('refuses a revoked attempt as not run', async () => {
    expect(await revoke('a')).toMatchObject({ body: { state: 'revoked' } });
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'not-run' });
  });

  it('refuses a claim at another incarnation, and reports its attempts as unknown', async () => {
    expect(await call('a', 'first')).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(await revoke('b', 'first')).toMatchObject({ body: { state: 'unknown' } });
  });

  it('refuses calls after drain', async () => {
    await proxy.drain();
    expect(await call('a')).toMatchObject({ status: 503, outcome: 'not-run' });
  });
});

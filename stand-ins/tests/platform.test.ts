import { request } from 'undici';
import { type Component, formatAddress } from '../../src/core';
import { ManualClock } from '../../src/core/tests/manual-clock';
import { findFreeAddresses } from '../../src/local';
import { HostList, WeightStore, hostsSettingsSchema, weightsSettingsSchema } from '..';

describe('the stand-ins of the platform', () => {
  const clock = new ManualClock();
  let address: string;
  let server: Component;

  beforeEach(async () => {
    const [freeAddress] = await findFreeAddresses(['127.0.0.1']);
    if (freeAddress === undefined) throw new Error('no free address');
    address = formatAddress(freeAddress);
  });

  afterEach(async () => {
    await server.stop?.();
  });

  async function send(path: string, body?: object) {
    const response = await request(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body: body === undefined ? null : JSON.stringify(body),
    });
    return { status: response.statusCode, value: await response.body.json() };
  }

  it('serve weights at a limited rate', async () => {
    const settings = weightsSettingsSchema.parse({ address, 'downloads-per-second': 2 });
    server = new WeightStore(settings, clock);
    await server.start?.();
    expect(await send('/weights/agent')).toMatchObject({ status: 200 });
    expect(await send('/weights/agent')).toMatchObject({ status: 429 });
    clock.advance(500);
    expect(await send('/weights/agent')).toMatchObject({ status: 200 });
  });

  it('list a change of a host only after the configured lag', async () => {
    const settings = hostsSettingsSchema.parse({ address, hosts: ['a'], 'lag-milliseconds': 100 });
    server = new HostList(settings, clock);
    await server.start?.();
    await send('/', { host: 'a', state: 'leaving' });
    expect(await send('/')).toMatchObject({ value: { hosts: [{ host: 'a', state: 'live' }] } });
    clock.advance(100);
    expect(await send('/')).toMatchObject({ value: { hosts: [{ host: 'a', state: 'leaving' }] } });
  });
});

import { request } from 'undici';
import { formatAddress } from '../../src/core';
import { ManualClock } from '../../src/core/tests/manual-clock';
import { INSTANT_ENGINE, type StandInSettings, findFreeAddresses } from '../../src/local';
import { EngineServer, engineSettingsSchema } from '..';

describe('the stand-in engine', () => {
  let clock: ManualClock;
  let engine: EngineServer;
  let url: string;

  afterEach(async () => {
    await engine.stop();
  });

  async function start(settings: StandInSettings = {}): Promise<void> {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    clock = new ManualClock();
    url = `http://${formatAddress(address)}`;
    const all = { address: formatAddress(address), ...INSTANT_ENGINE, ...settings };
    engine = new EngineServer(engineSettingsSchema.parse(all), clock);
    await engine.start();
  }

  async function send(method: 'GET' | 'POST' | 'DELETE', path: string, body?: object) {
    const response = await request(`${url}${path}`, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
    });
    const value = (await response.body.json()) as Readonly<Record<string, unknown>>;
    return { status: response.statusCode, value };
  }

  async function chat(id: string, owner = 'p-1'): Promise<string> {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'x-request-id': id, 'martenbay-program': owner },
      body: JSON.stringify({
        model: 'stand-in',
        messages: [{ role: 'user', content: `A long question for a seat. ${'x'.repeat(200)}` }],
      }),
    });
    return response.body.text();
  }

  describe('its cache', () => {
    it('retains the blocks of processed prompts until an order releases them', async () => {
      await start();
      const first = await chat('a');
      const second = await chat('b');
      expect(first).toContain('"cached_tokens":0');
      expect(second).not.toContain('"cached_tokens":0');
      expect((await send('GET', '/cache')).value).toMatchObject({ owners: { 'p-1': 4 } });
      await send('POST', '/orders', { kind: 'release-cache', program: 'p-1', fence: 1 });
      expect((await send('GET', '/cache')).value).toMatchObject({ owners: {} });
    });

    it('publishes changes after a delay, numbered, with gaps for dropped events', async () => {
      await start({ 'event-delay-milliseconds': 200, 'lose-every-event': 2 });
      await chat('a');
      expect((await send('GET', '/cache/events?after=0')).value).toEqual({ events: [] });
      clock.advance(200);
      const { events } = (await send('GET', '/cache/events?after=0')).value as {
        readonly events: readonly { readonly number: number }[];
      };
      expect(events.map((event) => event.number)).toEqual([1, 3]);
    });

    it('transfers blocks to another owner by export and import', async () => {
      await start();
      await chat('a');
      const { value } = await send('POST', '/kv/export', { owner: 'p-1' });
      await send('POST', '/kv/import', { owner: 'p-2', blocks: value['blocks'] });
      expect((await send('GET', '/cache')).value).toMatchObject({ owners: { 'p-2': 4 } });
    });
  });

  describe('its orders', () => {
    it('are refused with an outdated fencing token if checks-fencing is on', async () => {
      await start();
      const order = (fence: number) =>
        send('POST', '/orders', { kind: 'load-adapter', adapter: 'captions', fence });
      expect(await order(5)).toMatchObject({ status: 200 });
      expect(await order(4)).toMatchObject({ status: 409 });
    });

    it('are executed with an outdated fencing token if checks-fencing is off', async () => {
      await start({ 'checks-fencing': false });
      const setRole = (role: string, fence: number) =>
        send('POST', '/orders', { kind: 'set-role', role, fence });
      await setRole('prefill', 5);
      expect(await setRole('decode', 4)).toMatchObject({
        status: 200,
        value: { state: { role: 'decode' } },
      });
    });
  });

  describe('its load', () => {
    it('is reported with the configured lag', async () => {
      await start({ 'load-lag-milliseconds': 500, 'hold-after-tokens': 2 });
      expect((await send('GET', '/load')).value).toEqual({ running: 0, waiting: 0 });
      const response = chat('a');
      await send('GET', '/held');
      expect((await send('GET', '/load')).value).toEqual({ running: 0, waiting: 0 });
      clock.advance(500);
      expect((await send('GET', '/load')).value).toEqual({ running: 1, waiting: 0 });
      await send('POST', '/release');
      await response;
    });
  });

  describe('its streams', () => {
    it('can be resumed from a given event after the connection was closed', async () => {
      await start({
        'break-after-tokens': 3,
        'break-count': 1,
        'resume-milliseconds': 1000,
      });
      await expect(chat('a')).rejects.toThrow();
      const resumed = await request(`${url}/streams/a?after=3`);
      const text = await resumed.body.text();
      expect(text).toContain('id: 4');
      expect(text).not.toContain('id: 3');
      expect(text).toContain('[DONE]');
    });

    it('can be cancelled once', async () => {
      await start({ 'hold-after-tokens': 2 });
      const response = chat('a').catch(() => 'cut off');
      await send('GET', '/held');
      expect(await send('DELETE', '/streams/a')).toMatchObject({ status: 200 });
      expect(await send('DELETE', '/streams/a')).toMatchObject({ status: 404 });
      clock.advance(500);
      expect((await send('GET', '/load')).value).toMatchObject({ running: 0 });
      await engine.stop();
      expect(await response).toBe('cut off');
    });
  });
});

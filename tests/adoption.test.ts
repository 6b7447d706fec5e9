import { PlainServer, plainSettingsSchema } from '../stand-ins';
import { SystemClock, formatAddress } from '../src/core';
import { type LocalSystem, findFreeAddresses } from '../src/local';
import { Caller } from './caller';
import { startTestSystem } from './local-system';

describe('services that martenbay does not manage', () => {
  const clock = new SystemClock();
  let system: LocalSystem;
  let legacyServer: PlainServer;
  let caller: Caller;

  beforeAll(async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    const legacyAddress = formatAddress(address);
    legacyServer = new PlainServer(
      plainSettingsSchema.parse({ address: legacyAddress, name: 'old-script' }),
      clock,
    );
    await legacyServer.start();
    system = await startTestSystem(13, {
      extraFiles: [
        {
          name: 'moving.toml',
          text: `
[[service]]
name = "lounge-lists"
type = "plain"
adoption = "pass-through"
old-address = "${legacyAddress}"

[[service]]
name = "payroll"
type = "plain"
adoption = "not-ours"

[[service]]
name = "old-assistant"
type = "engine"
model = "old-model"
adoption = "pass-through"
old-address = "${legacyAddress}"
`,
        },
      ],
    });
    caller = new Caller(system.entryUrl);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
    await legacyServer.stop();
  });

  it('are forwarded unchanged to the old address with pass-through', async () => {
    const response = await caller.send('/services/lounge-lists/lists/4?day=2', {
      method: 'PUT',
      body: 'guests=3',
    });
    expect(response.status).toBe(200);
    expect(JSON.parse(response.text)).toMatchObject({
      service: 'old-script',
      method: 'PUT',
      path: '/lists/4?day=2',
      body: 'guests=3',
    });
  });

  it('are forwarded complete turns with pass-through if they are engines', async () => {
    const body = { model: 'old-model', messages: [{ role: 'user', content: 'x' }] };
    const response = await caller.send('/v1/chat/completions', { body });
    expect(JSON.parse(response.text)).toMatchObject({
      path: '/v1/chat/completions',
      body: JSON.stringify(body),
    });
  });

  it('are refused with outcome not-run if their adoption is not-ours', async () => {
    const response = await caller.send('/services/payroll/run', { body: {} });
    expect(response).toMatchObject({ status: 404, outcome: 'not-run' });
  });

  it('give 502 with outcome not-run if nothing listens at the old address', async () => {
    await legacyServer.stop();
    const response = await caller.send('/services/lounge-lists/lists/4', { method: 'GET' });
    expect(response).toMatchObject({ status: 502, outcome: 'not-run' });
  });
});

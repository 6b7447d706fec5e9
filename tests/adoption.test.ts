import { PlainServer, plainSettingsSchema } from '../stand-ins';
import { SystemClock, formatAddress } from '../src/core';
import { type LocalSystem, findFreeAddresses } from '../src/local';
import { Caller } from './caller';
import { startTestSystem } from './local-system';

describe('services that have not moved yet', () => {
  const clock = new SystemClock();
  let system: LocalSystem;
  let old: PlainServer;
  let caller: Caller;

  beforeAll(async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('no free address');
    const text = formatAddress(address);
    old = new PlainServer(plainSettingsSchema.parse({ address: text, name: 'old-script' }), clock);
    await old.start();
    system = await startTestSystem(13, {
      extraFiles: [
        {
          name: 'moving.toml',
          text: `
[[service]]
name = "lounge-lists"
type = "plain"
adoption = "pass-through"
old-address = "${text}"

[[service]]
name = "payroll"
type = "plain"
adoption = "not-ours"

[[service]]
name = "old-assistant"
type = "engine"
model = "old-model"
adoption = "pass-through"
old-address = "${text}"
`,
        },
      ],
    });
    caller = new Caller(system.entryUrl);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
    await old.stop();
  });

  it('pass untouched to their old address', async () => {
    const reply = await caller.send('/services/lounge-lists/lists/4?day=2', {
      method: 'PUT',
      body: 'guests=3',
    });
    expect(reply.status).toBe(200);
    expect(JSON.parse(reply.text)).toMatchObject({
      service: 'old-script',
      method: 'PUT',
      path: '/lists/4?day=2',
      body: 'guests=3',
    });
  });

  it('pass whole turns to an old engine', async () => {
    const body = { model: 'old-model', messages: [{ role: 'user', content: 'x' }] };
    const reply = await caller.send('/v1/chat/completions', { body });
    expect(JSON.parse(reply.text)).toMatchObject({
      path: '/v1/chat/completions',
      body: JSON.stringify(body),
    });
  });

  it('are refused as not run when they are not ours', async () => {
    const reply = await caller.send('/services/payroll/run', { body: {} });
    expect(reply).toMatchObject({ status: 404, outcome: 'not-run' });
  });

  it('tell whether the call ran when the old address is gone', async () => {
    await old.stop();
    const reply = await caller.send('/services/lounge-lists/lists/4', { method: 'GET' });
    expect(reply).toMatchObject({ status: 502, outcome: 'not-run' });
  });
});

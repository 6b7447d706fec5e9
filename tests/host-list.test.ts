import { request } from 'undici';
import { SystemClock, formatAddress } from '../src/core';
import { INSTANT_ENGINE, findFreeAddresses } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';
import { HostList, hostsSettingsSchema } from '../stand-ins';
import { Caller } from './caller';

describe('the host list of the platform', () => {
  let system: MultiProcessSystem;
  let list: HostList;
  let url: string;

  beforeAll(async () => {
    const [free] = await findFreeAddresses(['127.0.0.1']);
    if (free === undefined) throw new Error('no free address');
    const address = formatAddress(free);
    url = `http://${address}/`;
    const hosts = ['engine-1', 'engine-2', 'check-in-1'];
    const settings = hostsSettingsSchema.parse({ address, hosts, 'lag-milliseconds': 0 });
    list = new HostList(settings, new SystemClock());
    await list.start();
    system = await MultiProcessSystem.start({
      engineSettings: INSTANT_ENGINE,
      entries: 1,
      hostList: address,
    });
  });

  afterAll(async () => {
    await system.stop();
    await list.stop();
  });

  async function setHostState(host: string, state: string): Promise<void> {
    const response = await request(url, { method: 'POST', body: JSON.stringify({ host, state }) });
    await response.body.dump();
  }

  it('excludes a leaving target whose sidecar still serves, and includes it once it is live again', async () => {
    await setHostState('engine-1', 'leaving');
    await system.untilTargetsServing(system.layout.targets.length - 1);
    const caller = new Caller(system.entryUrls[0] ?? '');
    for (let count = 0; count < 4; count += 1) {
      const program = await caller.createProgram();
      expect(await caller.sendTurn(program, 1, 'One.')).toMatchObject({ status: 200 });
    }
    const decisions = system.child('entry-1').lines.filter((line) => line['event'] === 'decision');
    const chosen = new Set(decisions.map((line) => line['choice']));
    expect([...chosen]).toEqual(['engine-2']);
    await setHostState('engine-1', 'live');
    await system.untilTargetsServing();
  });
});

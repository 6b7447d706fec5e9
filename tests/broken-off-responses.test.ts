import {
  BROKEN_OFF_RESPONSES,
  type ScriptedResponse,
  ScriptedServer,
  WHOLE_RESPONSES,
} from '../stand-ins';
import { formatAddress } from '../src/core';
import { type LocalSystem, findFreeAddresses } from '../src/local';
import { Caller } from './caller';
import { startTestSystem } from './local-system';

// Guards against a response that the old address broke off being delivered as a complete one.
describe('a response of the old address of a service', () => {
  let system: LocalSystem;
  let oldAddress: ScriptedServer;
  let caller: Caller;

  beforeAll(async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('findFreeAddresses returned no address');
    oldAddress = new ScriptedServer(address);
    await oldAddress.start();
    system = await startTestSystem(46, {
      extraFiles: [
        {
          name: 'moving.toml',
          text: `
[[service]]
name = "lounge-lists"
type = "plain"
adoption = "pass-through"
old-address = "${formatAddress(address)}"
`,
        },
      ],
    });
    caller = new Caller(system.entryUrl);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
    await oldAddress.stop();
  });

  const call = async (script: ScriptedResponse) => {
    oldAddress.scripts.push(script);
    try {
      const { status, text } = await caller.send('/services/lounge-lists/lists/4');
      return { status, text };
    } catch {
      return 'broken off';
    }
  };

  it('is incomplete for the caller, if it was broken off', async () => {
    for (const script of BROKEN_OFF_RESPONSES)
      expect([script, await call(script)]).toEqual([script, 'broken off']);
  });

  it('is delivered, if it is whole, also without a length or chunks', async () => {
    for (const script of WHOLE_RESPONSES) {
      const whole = { status: 200, text: script.body.join('') };
      expect([script, await call(script)]).toEqual([script, whole]);
    }
  });
});

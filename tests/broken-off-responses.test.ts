import { type ScriptedResponse, ScriptedServer } from '../stand-ins';
import { formatAddress } from '../src/core';
import { type LocalSystem, findFreeAddresses } from '../src/local';
import { Caller } from './caller';
import { startTestSystem } from './local-system';

const STREAM = { contentType: 'text/event-stream', framing: 'connection' } as const;

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

  describe('that was broken off', () => {
    const scripts: readonly ScriptedResponse[] = [
      { framing: 'connection', body: ['part'], ending: 'reset' },
      { framing: 'chunked', body: ['part'], ending: 'reset' },
      { framing: 'chunked', body: ['part'], ending: 'close' },
      { framing: 'length', body: ['part'], ending: 'close' },
      { ...STREAM, body: ['data: a\n\n', 'data: b'], ending: 'close' },
      { ...STREAM, framing: 'length', body: ['data: a\n\n', 'data: b'], ending: 'complete' },
    ];

    it('is incomplete for the caller', async () => {
      for (const script of scripts)
        expect([script, await call(script)]).toEqual([script, 'broken off']);
    });
  });

  describe('that is whole', () => {
    it('is delivered, also without a length or chunks', async () => {
      for (const framing of ['connection', 'chunked', 'length'] as const) {
        for (const stream of [{}, STREAM]) {
          const script = {
            ...stream,
            framing,
            body: ['data: a\n', '\n'],
            ending: 'complete',
          } as const;
          const whole = { status: 200, text: 'data: a\n\n' };
          expect([script, await call(script)]).toEqual([script, whole]);
        }
      }
    });
  });
});

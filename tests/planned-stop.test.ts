import OpenAI from 'openai';
import { request } from 'undici';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE, LOCAL_KEY } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';

/** The engine pauses the stream after this many tokens until it is released. */
const TOKENS_BEFORE_HOLD = 5;

const ENGINE_SETTINGS = { ...INSTANT_ENGINE, 'hold-after-tokens': TOKENS_BEFORE_HOLD };

const ONLY_GROUP = 'main-1';

const PROMPT = [{ role: 'user' as const, content: 'Which gate? [tokens=40]' }];

/** Starts a streamed turn that the engine pauses until `release` is called. */
async function startHeldTurn(system: MultiProcessSystem) {
  const client = new OpenAI({ baseURL: `${system.entryUrls[0] ?? ''}/v1`, apiKey: LOCAL_KEY });
  const stream = await client.chat.completions.create({
    model: 'stand-in',
    messages: PROMPT,
    stream: true,
  });
  const engine = system.layout.targets.find((target) => target.name === 'engine-1');
  if (engine === undefined) throw new Error('expected target "engine-1" in the layout, found none');
  const url = `http://${formatAddress(engine.address)}`;
  await request(`${url}/held`);
  return {
    release: async () => {
      await request(`${url}/release`, { method: 'POST' });
    },
    read: async () => {
      const parts: string[] = [];
      const reasons: (string | null)[] = [];
      for await (const chunk of stream) {
        parts.push(chunk.choices[0]?.delta.content ?? '');
        reasons.push(chunk.choices[0]?.finish_reason ?? null);
      }
      return { words: parts.join('').split(' ').length, reason: reasons.at(-1) };
    },
  };
}

describe('SIGTERM during a stream', () => {
  let system: MultiProcessSystem;

  beforeEach(async () => {
    system = await MultiProcessSystem.start({ engineSettings: ENGINE_SETTINGS, programGroups: 1 });
  });

  afterEach(async () => {
    await system.stop();
  });

  async function expectCompleteStreamAcrossStop(name: string): Promise<void> {
    const turn = await startHeldTurn(system);
    const child = system.child(name);
    child.signal('SIGTERM');
    await child.waitForLog((line) => line['event'] === 'stopping');
    await turn.release();
    expect(await turn.read()).toEqual({ words: 40, reason: 'stop' });
    expect(await child.exited).toBe(0);
  }

  it('of the entry does not interrupt the stream', async () => {
    await expectCompleteStreamAcrossStop('entry-1');
  });

  it('of the sidecar does not interrupt the stream', async () => {
    await expectCompleteStreamAcrossStop('sidecar-engine-1');
  });

  it('of a follower among the control hosts does not interrupt the stream or change the leader', async () => {
    const { leader } = await system.group(ONLY_GROUP);
    const follower = system.layout.controlMembers.find((member) => member.name !== leader);
    await expectCompleteStreamAcrossStop(follower?.name ?? '');
    expect(await system.group(ONLY_GROUP)).toMatchObject({ leader });
  });

  it('of the leading control host does not interrupt the stream, and another leader takes over', async () => {
    const { leader } = await system.group(ONLY_GROUP);
    await expectCompleteStreamAcrossStop(leader);
    const after = await system.group(ONLY_GROUP);
    expect(after.leader).not.toBe(leader);
  });
});

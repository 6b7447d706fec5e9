import OpenAI from 'openai';
import { request } from 'undici';
import { formatAddress } from '../src/core';
import { INSTANT_ENGINE, LOCAL_KEY } from '../src/local';
import { MultiProcessSystem } from '../scripts/separate/system';

/** The engine stands still after this many tokens of the one stream of a test. */
const HELD_TOKENS = 5;

const ENGINE = { ...INSTANT_ENGINE, 'hold-after-tokens': HELD_TOKENS };

/** The group that holds every program of these tests. */
const ONLY_GROUP = 'main-1';

const PROMPT = [{ role: 'user' as const, content: 'Which gate? [tokens=40]' }];

/** A streamed turn that the engine holds in its middle until it is released. */
async function startHeldTurn(system: MultiProcessSystem) {
  const client = new OpenAI({ baseURL: `${system.entryUrls[0] ?? ''}/v1`, apiKey: LOCAL_KEY });
  const stream = await client.chat.completions.create({
    model: 'stand-in',
    messages: PROMPT,
    stream: true,
  });
  const engine = system.layout.targets.find((target) => target.name === 'engine-1');
  if (engine === undefined) throw new Error('no engine');
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

describe('a planned stop in the middle of a stream', () => {
  let system: MultiProcessSystem;

  beforeEach(async () => {
    system = await MultiProcessSystem.start({ engineSettings: ENGINE, programGroups: 1 });
  });

  afterEach(async () => {
    await system.stop();
  });

  async function expectWholeAnswerAcrossStop(name: string): Promise<void> {
    const turn = await startHeldTurn(system);
    const child = system.child(name);
    child.signal('SIGTERM');
    await child.waitForLog((line) => line['event'] === 'stopping');
    await turn.release();
    expect(await turn.read()).toEqual({ words: 40, reason: 'stop' });
    expect(await child.exited).toBe(0);
  }

  it('of the entry lets the caller read the whole answer', async () => {
    await expectWholeAnswerAcrossStop('entry-1');
  });

  it('of the sidecar lets the caller read the whole answer', async () => {
    await expectWholeAnswerAcrossStop('sidecar-engine-1');
  });

  it('of a control host that follows lets the caller read the whole answer', async () => {
    const { leader } = await system.group(ONLY_GROUP);
    const follower = system.layout.controlMembers.find((member) => member.name !== leader);
    await expectWholeAnswerAcrossStop(follower?.name ?? '');
    expect(await system.group(ONLY_GROUP)).toMatchObject({ leader });
  });

  it('of the leading control host lets the caller read the whole answer', async () => {
    const { leader } = await system.group(ONLY_GROUP);
    await expectWholeAnswerAcrossStop(leader);
    const after = await system.group(ONLY_GROUP);
    expect(after.leader).not.toBe(leader);
  });
});

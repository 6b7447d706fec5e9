import OpenAI from 'openai';
import { LOCAL_KEY, type LocalSystem } from '../src/local';
import { startTestSystem } from './local-system';

describe("the npm client 'openai' with only base URL and key changed", () => {
  let system: LocalSystem;
  let client: OpenAI;

  beforeAll(async () => {
    system = await startTestSystem(11);
    client = new OpenAI({ baseURL: `${system.entryUrl}/v1`, apiKey: LOCAL_KEY, maxRetries: 0 });
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
  });

  const messages = [{ role: 'user' as const, content: 'Choose a spread.' }];

  it('gets a whole answer', async () => {
    const answer = await client.chat.completions.create({ model: 'stand-in', messages });
    expect(answer.choices[0]?.message.content).toMatchSnapshot();
    expect(answer.usage?.total_tokens).toBeGreaterThan(0);
  });

  it('gets the same answer as a stream, with the usage it asks for', async () => {
    const whole = await client.chat.completions.create({ model: 'stand-in', messages });
    const stream = await client.chat.completions.create({
      model: 'stand-in',
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const parts: string[] = [];
    const usages: unknown[] = [];
    const reasons: (string | null)[] = [];
    for await (const chunk of stream) {
      parts.push(chunk.choices[0]?.delta.content ?? '');
      if (chunk.usage) usages.push(chunk.usage);
      else reasons.push(chunk.choices[0]?.finish_reason ?? null);
    }
    expect(parts.join('')).toBe(whole.choices[0]?.message.content);
    expect(usages).toHaveLength(1);
    expect(reasons.slice(0, -1).every((reason) => reason === null)).toBe(true);
    expect(reasons.at(-1)).toBe('stop');
  });

  it('keeps up a program by echoing the answers it got', async () => {
    const response = await client.post('/programs', { body: {} });
    const { id } = response as { readonly id: string };
    const options = { headers: { 'Martenbay-Program': id } };
    const first = await client.chat.completions.create({ model: 'stand-in', messages }, options);
    const echoed = first.choices[0]?.message;
    if (echoed === undefined) throw new Error('no answer');
    const list = [...messages, echoed, { role: 'user' as const, content: 'Another one.' }];
    const second = await client.chat.completions.create(
      { model: 'stand-in', messages: list },
      options,
    );
    expect(second.choices[0]?.finish_reason).toBe('stop');
    const program = (await client.get(`/programs/${id}`)) as { readonly message_count: number };
    expect(program.message_count).toBe(4);
  });

  it('lists the models', async () => {
    const models: string[] = [];
    for await (const model of client.models.list()) models.push(model.id);
    expect(models).toEqual(['stand-in']);
  });

  it('is told why a request is refused, and that it did not run', async () => {
    const unknown = client.chat.completions.create({ model: 'nothing', messages });
    await expect(unknown).rejects.toMatchObject({
      status: 404,
      code: 'unknown-model',
      error: { outcome: 'not-run' },
    });
    const stranger = new OpenAI({ baseURL: `${system.entryUrl}/v1`, apiKey: 'x', maxRetries: 0 });
    await expect(
      stranger.chat.completions.create({ model: 'stand-in', messages }),
    ).rejects.toMatchObject({ status: 401, code: 'unauthorized' });
  });
});

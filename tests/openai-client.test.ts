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

  it('gets a completion', async () => {
    const completion = await client.chat.completions.create({ model: 'stand-in', messages });
    expect(completion.choices[0]?.message.content).toMatchSnapshot();
    expect(completion.usage?.total_tokens).toBeGreaterThan(0);
  });

  it('gets the same completion as a stream, with usage if it requests it', async () => {
    const completion = await client.chat.completions.create({ model: 'stand-in', messages });
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
    expect(parts.join('')).toBe(completion.choices[0]?.message.content);
    expect(usages).toHaveLength(1);
    expect(reasons.slice(0, -1).every((reason) => reason === null)).toBe(true);
    expect(reasons.at(-1)).toBe('stop');
  });

  it('continues a program by sending back the messages it received', async () => {
    const response = await client.post('/programs', { body: {} });
    const { id } = response as { readonly id: string };
    const options = { headers: { 'Martenbay-Program': id } };
    const first = await client.chat.completions.create({ model: 'stand-in', messages }, options);
    const received = first.choices[0]?.message;
    if (received === undefined) throw new Error('expected a completion with a choice, got none');
    const list = [...messages, received, { role: 'user' as const, content: 'Another one.' }];
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

  it('gets status, code and outcome of a refused request', async () => {
    const unknownModel = client.chat.completions.create({ model: 'nothing', messages });
    await expect(unknownModel).rejects.toMatchObject({
      status: 404,
      code: 'unknown-model',
      error: { outcome: 'not-run' },
    });
    const unauthorizedClient = new OpenAI({
      baseURL: `${system.entryUrl}/v1`,
      apiKey: 'x',
      maxRetries: 0,
    });
    await expect(
      unauthorizedClient.chat.completions.create({ model: 'stand-in', messages }),
    ).rejects.toMatchObject({ status: 401, code: 'unauthorized' });
  });
});

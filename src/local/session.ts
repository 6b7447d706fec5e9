import { createParser } from 'eventsource-parser';
import { request } from 'undici';

export interface SessionOptions {
  /** Base URLs of the entries, called in turn. */
  readonly entries: readonly string[];
  readonly key: string;
  readonly write: (line: string) => void;
}

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

const MODEL = 'stand-in';

/**
 * Runs a program with several turns, a child program and a non-repeatable call, and writes each
 * request and response as text.
 */
export async function runSession(options: SessionOptions): Promise<void> {
  const session = new DemoSession(options);
  const program = await session.createProgram('program', {});
  const first = [
    { role: 'system', content: 'You rebook travellers.' },
    { role: 'user', content: 'My flight moved. Which seat do I have?' },
  ];
  const firstText = await session.streamedTurn(program, 1, first);
  const child = await session.createProgram('sub-agent', { parent: program });
  await session.turn(child, 1, [{ role: 'user', content: 'Find the next flight.' }]);
  await session.appendedTurn(program, 2, 'Take that flight.');
  await session.chargeFee(program, 3);
  await session.chargeFee(program, 3);
  await session.countExecutions();
  const changedHistory = [...first, { role: 'assistant', content: 'Something else.' }];
  await session.turn(program, 4, [...changedHistory, { role: 'user', content: 'Thanks.' }]);
  await session.replayedTurn(program, 1, first, firstText);
  await session.endProgram(program);
  await session.turn(program, 4, [{ role: 'user', content: 'Still there?' }]);
}

class DemoSession {
  readonly #options: SessionOptions;
  #nextEntry = 0;

  constructor(options: SessionOptions) {
    this.#options = options;
  }

  async createProgram(label: string, body: object): Promise<string> {
    this.#write(`create ${label}`);
    const reply = await this.#send({ method: 'POST', path: '/v1/programs', body });
    const program = JSON.parse(reply.text) as { readonly id: string };
    this.#write(`  ${reply.status} ${reply.text}`);
    return program.id;
  }

  async streamedTurn(program: string, sequence: number, messages: readonly object[]) {
    this.#write(`turn ${sequence} of ${program}, streamed`);
    const reply = await this.#chat(program, sequence, { messages, stream: true });
    const text = readStream(reply.text);
    this.#write(`  ${reply.status} ${JSON.stringify(text)}`);
    return text;
  }

  async turn(program: string, sequence: number, messages: readonly object[]): Promise<void> {
    this.#write(`turn ${sequence} of ${program}`);
    this.#writeReply(await this.#chat(program, sequence, { messages }));
  }

  async appendedTurn(program: string, sequence: number, content: string): Promise<void> {
    this.#write(`turn ${sequence} of ${program}, only the new message sent`);
    const messages = [{ role: 'user', content }];
    const headers = { 'Martenbay-History': 'append' };
    this.#writeReply(await this.#chat(program, sequence, { messages }, headers));
  }

  async replayedTurn(
    program: string,
    sequence: number,
    messages: readonly object[],
    expected: string,
  ): Promise<void> {
    const text = await this.streamedTurn(program, sequence, messages);
    this.#write(`  the same answer as before: ${text === expected}`);
  }

  async chargeFee(program: string, sequence: number): Promise<void> {
    this.#write(`call ${sequence} of ${program}: a bag fee, which may not be repeated`);
    const reply = await this.#send({
      method: 'POST',
      path: '/services/check-in/bag-fees',
      headers: { 'Martenbay-Program': program, 'Martenbay-Sequence': String(sequence) },
      body: { bag: 1 },
    });
    this.#writeReply(reply);
  }

  async countExecutions(): Promise<void> {
    this.#write('how often the service ran a fee');
    const reply = await this.#send({ method: 'GET', path: '/services/check-in/executions' });
    const { total } = JSON.parse(reply.text) as { readonly total: number };
    this.#write(`  ${reply.status} ${total}`);
  }

  async endProgram(program: string): Promise<void> {
    this.#write(`end ${program}`);
    this.#writeReply(await this.#send({ method: 'DELETE', path: `/v1/programs/${program}` }));
  }

  #chat(
    program: string,
    sequence: number,
    body: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Reply> {
    return this.#send({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'Martenbay-Program': program,
        'Martenbay-Sequence': String(sequence),
        ...headers,
      },
      body: { model: MODEL, ...body },
    });
  }

  async #send(call: Call): Promise<Reply> {
    const { entries, key } = this.#options;
    const entry = entries[this.#nextEntry % entries.length] ?? '';
    this.#nextEntry += 1;
    const response = await request(`${entry}${call.path}`, {
      method: call.method as 'GET' | 'POST' | 'DELETE',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
    });
    return {
      status: response.statusCode,
      headers: response.headers,
      text: await response.body.text(),
    };
  }

  #writeReply(reply: Reply): void {
    const outcome = reply.headers['martenbay-outcome'];
    const suffix = typeof outcome === 'string' ? ` (outcome ${outcome})` : '';
    this.#write(`  ${reply.status}${suffix} ${reply.text}`);
  }

  #write(line: string): void {
    this.#options.write(line);
  }
}

interface Chunk {
  readonly choices: readonly { readonly delta: { readonly content?: string | null } }[];
}

/** Joins the text of a streamed response; marks one that has not exactly one `[DONE]` event. */
function readStream(text: string): string {
  const parts: string[] = [];
  const endMarkers: string[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') endMarkers.push(data);
      else
        parts.push(...(JSON.parse(data) as Chunk).choices.map(({ delta }) => delta.content ?? ''));
    },
  });
  parser.feed(text);
  return endMarkers.length === 1 ? parts.join('') : `cut off after: ${text}`;
}

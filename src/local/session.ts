import { createParser } from 'eventsource-parser';
import { request } from 'undici';

export interface SessionOptions {
  /** Base URLs of the entries; each call goes to the next one. */
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
 * A program of several turns with a sub-agent and a fee that may be charged only once, as its
 * caller sees it. Every line of the exchange is written.
 */
export async function runSession(options: SessionOptions): Promise<void> {
  const session = new Session(options);
  const program = await session.create('program', {});
  const first = [
    { role: 'system', content: 'You rebook travellers.' },
    { role: 'user', content: 'My flight moved. Which seat do I have?' },
  ];
  const answer = await session.streamedTurn(program, 1, first);
  const child = await session.create('sub-agent', { parent: program });
  await session.turn(child, 1, [{ role: 'user', content: 'Find the next flight.' }]);
  await session.appendedTurn(program, 2, 'Take that flight.');
  await session.fee(program, 3);
  await session.fee(program, 3);
  await session.executions();
  const mixed = [...first, { role: 'assistant', content: 'Something else.' }];
  await session.turn(program, 4, [...mixed, { role: 'user', content: 'Thanks.' }]);
  await session.replayedTurn(program, 1, first, answer);
  await session.end(program);
  await session.turn(program, 4, [{ role: 'user', content: 'Still there?' }]);
}

/** One caller's exchange with the entries. */
class Session {
  readonly #options: SessionOptions;
  #next = 0;

  constructor(options: SessionOptions) {
    this.#options = options;
  }

  async create(what: string, body: object): Promise<string> {
    this.#say(`create ${what}`);
    const reply = await this.#send({ method: 'POST', path: '/v1/programs', body });
    const program = JSON.parse(reply.text) as { readonly id: string };
    this.#say(`  ${reply.status} ${reply.text}`);
    return program.id;
  }

  async streamedTurn(program: string, sequence: number, messages: readonly object[]) {
    this.#say(`turn ${sequence} of ${program}, streamed`);
    const reply = await this.#chat(program, sequence, { messages, stream: true });
    const text = readStream(reply.text);
    this.#say(`  ${reply.status} ${JSON.stringify(text)}`);
    return text;
  }

  async turn(program: string, sequence: number, messages: readonly object[]): Promise<void> {
    this.#say(`turn ${sequence} of ${program}`);
    this.#sayReply(await this.#chat(program, sequence, { messages }));
  }

  async appendedTurn(program: string, sequence: number, content: string): Promise<void> {
    this.#say(`turn ${sequence} of ${program}, only the new message sent`);
    const messages = [{ role: 'user', content }];
    const headers = { 'Martenbay-History': 'append' };
    this.#sayReply(await this.#chat(program, sequence, { messages }, headers));
  }

  async replayedTurn(
    program: string,
    sequence: number,
    messages: readonly object[],
    expected: string,
  ): Promise<void> {
    const text = await this.streamedTurn(program, sequence, messages);
    this.#say(`  the same answer as before: ${text === expected}`);
  }

  async fee(program: string, sequence: number): Promise<void> {
    this.#say(`call ${sequence} of ${program}: a bag fee, which may not be repeated`);
    const reply = await this.#send({
      method: 'POST',
      path: '/services/check-in/bag-fees',
      headers: { 'Martenbay-Program': program, 'Martenbay-Sequence': String(sequence) },
      body: { bag: 1 },
    });
    this.#sayReply(reply);
  }

  async executions(): Promise<void> {
    this.#say('how often the service ran a fee');
    const reply = await this.#send({ method: 'GET', path: '/services/check-in/executions' });
    const { total } = JSON.parse(reply.text) as { readonly total: number };
    this.#say(`  ${reply.status} ${total}`);
  }

  async end(program: string): Promise<void> {
    this.#say(`end ${program}`);
    this.#sayReply(await this.#send({ method: 'DELETE', path: `/v1/programs/${program}` }));
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
    const entry = entries[this.#next % entries.length] ?? '';
    this.#next += 1;
    const answer = await request(`${entry}${call.path}`, {
      method: call.method as 'GET' | 'POST' | 'DELETE',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
    });
    return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
  }

  #sayReply(reply: Reply): void {
    const outcome = reply.headers['martenbay-outcome'];
    const suffix = typeof outcome === 'string' ? ` (outcome ${outcome})` : '';
    this.#say(`  ${reply.status}${suffix} ${reply.text}`);
  }

  #say(line: string): void {
    this.#options.write(line);
  }
}

interface Chunk {
  readonly choices: readonly { readonly delta: { readonly content?: string | null } }[];
}

/** Puts the text of a streamed answer together; one that did not end as it should says so. */
function readStream(text: string): string {
  const parts: string[] = [];
  const ends: string[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') ends.push(data);
      else
        parts.push(...(JSON.parse(data) as Chunk).choices.map(({ delta }) => delta.content ?? ''));
    },
  });
  parser.feed(text);
  return ends.length === 1 ? parts.join('') : `cut off after: ${text}`;
}

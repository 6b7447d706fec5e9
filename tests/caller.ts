import { request } from 'undici';
import { LOCAL_KEY } from '../src/local';

/** What a caller got. */
export interface Reply {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly retryAfter: string | undefined;
  readonly text: string;
}

export interface CallOptions {
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE' | 'PATCH';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | object;
  readonly key?: string;
}

/** A caller of one entry. */
export class Caller {
  readonly #url: string;

  constructor(url: string) {
    this.#url = url;
  }

  async send(path: string, options: CallOptions = {}): Promise<Reply> {
    const { method = 'POST', headers = {}, body, key = LOCAL_KEY } = options;
    const answer = await request(`${this.#url}${path}`, {
      method,
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
      body: typeof body === 'object' ? JSON.stringify(body) : (body ?? null),
    });
    const text = await answer.body.text();
    const { 'martenbay-outcome': outcome, 'retry-after': retryAfter } = answer.headers;
    return {
      status: answer.statusCode,
      outcome: outcome?.toString(),
      retryAfter: retryAfter?.toString(),
      text,
    };
  }

  async createProgram(body: object = {}): Promise<string> {
    const reply = await this.send('/v1/programs', { body });
    return (JSON.parse(reply.text) as { readonly id: string }).id;
  }

  /** A turn that sends only its new message. */
  turn(
    program: string,
    sequence: number,
    content: string,
    extra: object = {},
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Reply> {
    return this.send('/v1/chat/completions', {
      headers: stepHeaders(program, sequence, { 'martenbay-history': 'append', ...headers }),
      body: { model: 'stand-in', messages: [{ role: 'user', content }], ...extra },
    });
  }

  /** A fee, which may not be repeated. */
  fee(program: string, sequence: number): Promise<Reply> {
    return this.send('/services/check-in/bag-fees', {
      headers: stepHeaders(program, sequence),
      body: { bag: 1 },
    });
  }

  /** How often the plain service ran a call. */
  async executions(): Promise<number> {
    const reply = await this.send('/services/check-in/executions', { method: 'GET' });
    return (JSON.parse(reply.text) as { readonly total: number }).total;
  }

  async program(id: string): Promise<Readonly<Record<string, unknown>>> {
    const reply = await this.send(`/v1/programs/${id}`, { method: 'GET' });
    return JSON.parse(reply.text) as Readonly<Record<string, unknown>>;
  }
}

function stepHeaders(
  program: string,
  sequence: number,
  extra: Readonly<Record<string, string>> = {},
): Readonly<Record<string, string>> {
  return { 'martenbay-program': program, 'martenbay-sequence': String(sequence), ...extra };
}

/** Text of a whole chat answer. */
export function contentOf(reply: Reply): string {
  const answer = JSON.parse(reply.text) as {
    readonly choices: readonly { readonly message: { readonly content: string } }[];
  };
  return answer.choices[0]?.message.content ?? '';
}

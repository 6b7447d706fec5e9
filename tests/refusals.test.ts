import { type LocalSystem } from '../src/local';
import { type CallOptions, Caller } from './caller';
import { Normalizer } from './normalizer';
import { startTestSystem } from './local-system';

const MESSAGES = [{ role: 'user', content: 'x' }];
const CHAT_PATH = '/v1/chat/completions';

/** Requests that are refused: label in the snapshot, path and options. */
const REFUSED_REQUESTS: readonly (readonly [string, string, CallOptions])[] = [
  ['no key', CHAT_PATH, { key: '', body: { model: 'stand-in', messages: MESSAGES } }],
  ['unknown key', CHAT_PATH, { key: 'nobody', body: { model: 'stand-in', messages: MESSAGES } }],
  ['body that is not JSON', CHAT_PATH, { body: '{"model": ' }],
  ['body with invalid fields', CHAT_PATH, { body: { model: 7, messages: [] } }],
  ['more than one choice', CHAT_PATH, { body: { model: 'stand-in', messages: MESSAGES, n: 2 } }],
  ['unknown model', CHAT_PATH, { body: { model: 'nothing', messages: MESSAGES } }],
  ['body too large', CHAT_PATH, { body: `"${'x'.repeat(8_388_608)}"` }],
  [
    'non-numeric sequence',
    CHAT_PATH,
    {
      headers: { 'martenbay-program': 'p', 'martenbay-sequence': 'first' },
      body: { model: 'stand-in', messages: MESSAGES },
    },
  ],
  [
    'unknown program of a call',
    CHAT_PATH,
    { headers: { 'martenbay-program': 'p-0' }, body: { model: 'stand-in', messages: MESSAGES } },
  ],
  [
    'more tokens than the budget',
    CHAT_PATH,
    { body: { model: 'stand-in', messages: MESSAGES, max_tokens: 9_000_000 } },
  ],
  ['unknown program kind', '/v1/programs', { body: { kind: 'none' } }],
  ['unknown parent', '/v1/programs', { body: { parent: 'p-0' } }],
  ['unknown field of a program', '/v1/programs', { body: { colour: 'red' } }],
  ['unknown program', '/v1/programs/p-0', { method: 'GET' }],
  ['malformed encoding of a program id', '/v1/programs/%E0%A4%A', { method: 'GET' }],
  ['unsupported method of a program', '/v1/programs/p-0', { method: 'PATCH' }],
  ['unknown path', '/v2/anything', { method: 'GET' }],
  ['unknown service', '/services/nothing/x', { method: 'GET' }],
  ['engine called as a plain service', '/services/assistant/load', { method: 'GET' }],
  ['missing service name', '/services//x', { method: 'GET' }],
  ['encoded separator', '/services/check-in/a%2fb', { method: 'GET' }],
  ['encoded dots', '/services/check-in/%2e%2e/orders', { method: 'GET' }],
  ['backslash', '/services/check-in/a%5cb', { method: 'GET' }],
  ['empty segment', '/services/check-in/a//b', { method: 'GET' }],
  ['null byte', '/services/check-in/a%00b', { method: 'GET' }],
  ['line break', '/services/check-in/a%0d%0ab', { method: 'GET' }],
];

describe('refused requests', () => {
  let system: LocalSystem;

  beforeAll(async () => {
    system = await startTestSystem(9);
  });

  afterAll(async () => {
    await system.lifeCycle.stop();
  });

  it('get a code, a message and the outcome not-run', async () => {
    const caller = new Caller(system.entryUrl);
    const normalizer = new Normalizer();
    const lines: string[] = [];
    for (const [name, path, options] of REFUSED_REQUESTS) {
      const { status, outcome, text } = await caller.send(path, options);
      const { error } = JSON.parse(text) as {
        readonly error: { readonly code: string; readonly message: string };
      };
      const line = `${name}: ${status} ${outcome ?? ''} ${error.code}: ${error.message}`;
      lines.push(normalizer.normalize(line));
    }
    expect(lines.join('\n')).toMatchSnapshot();
    expect(await caller.countExecutions()).toBe(0);
  });

  it('do not include requests for the health and metrics pages without a key', async () => {
    const caller = new Caller(system.entryUrl);
    for (const page of ['/healthz', '/readyz', '/metrics']) {
      expect(await caller.send(page, { method: 'GET', key: '' })).toMatchObject({ status: 200 });
    }
  });
});

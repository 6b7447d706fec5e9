import { Metrics, createSilentLogger } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import type { EntryContext } from '../context';
import { type EngineTurn, runTurn } from '../engine-turn';
import { CallError } from '../sidecar-client';

/** Targets that may end under one request. */
const ENDED_TARGET_LIMIT = 3;

const ENGINES = Array.from({ length: 9 }, (_, index) => `e${index}`);

interface CalledTarget {
  readonly name: string;
}

/** An entry before engines each of which ends when it runs a call. */
function createEntry() {
  const ended = new Set<string>();
  const available = () =>
    ENGINES.filter((name) => !ended.has(name)).map((name) => ({
      ...{ target: { name }, incarnation: 'i', candidate: { name } },
    }));
  const context = {
    directory: {
      available,
      recordCallStart: () => undefined,
      recordCallEnd: () => undefined,
      startCooldown: () => undefined,
    },
    sidecars: {
      send: ({ name }: CalledTarget) => {
        ended.add(name);
        return Promise.reject(new CallError('other side closed', false));
      },
    },
    policy: {
      name: 'p',
      choose: (_request: unknown, [first]: readonly CalledTarget[]) => ({
        ...{ target: first?.name, candidates: [], reason: 'r' },
      }),
    },
    clock: new ManualClock(),
    logger: createSilentLogger(),
    metrics: new Metrics(),
  };
  return { context: context as unknown as EntryContext, ended };
}

function createTurn(attempt: string): EngineTurn {
  return {
    ...{ configuration: {}, service: { name: 's', model: 'm' }, program: 'p', attempt },
    ...{ run: { sequence: 1, contextTokens: 0 }, request: {}, newTokens: 1, outputTokens: 1 },
    ...{ messages: [{ role: 'user', content: 'fatal' }], stream: undefined },
    signal: new AbortController().signal,
  } as unknown as EngineTurn;
}

// Guards against a chat call that ends one engine after the other, each time its caller sends it again.
describe('a chat call that ends every engine that runs it', () => {
  it('is sent to no other engine once three have ended under it', async () => {
    const { context, ended } = createEntry();
    for (const attempt of ['first', 'second']) {
      await runTurn(context, createTurn(attempt)).catch(() => undefined);
    }
    expect(ended.size).toBe(ENDED_TARGET_LIMIT);
  });
});

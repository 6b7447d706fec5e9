import type { Dispatcher } from 'undici';
import { type ScriptedResponse, ScriptedServer } from '../../../stand-ins';
import { LifeCycle, Metrics, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { findFreeAddresses } from '../../local';
import { type TargetConnection, TargetConnectionPool, TargetState } from '../../targets';
import { Attempt, type AttemptOutcome } from '../attempt';
import type { WireFormat } from '../wire-format';

const CLOCK = new SystemClock();

const WIRE = {
  readResponse: () => ({
    requestId: undefined,
    isSigned: true,
    isNotRun: false,
    isEncoded: false,
  }),
} as unknown as WireFormat;

const REQUEST = {
  wire: WIRE,
  clock: CLOCK,
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: [],
  body: null,
};

// Guards against the process ending at a reset during a paused response that its connection delimits.
describe('an attempt whose caller does not read', () => {
  let lifeCycle: LifeCycle;
  let target: ScriptedServer;
  let connections: TargetConnectionPool;
  let state: TargetState;

  beforeEach(async () => {
    const [address] = await findFreeAddresses(['127.0.0.1']);
    if (address === undefined) throw new Error('findFreeAddresses returned no address');
    target = new ScriptedServer(address);
    connections = new TargetConnectionPool(createSilentLogger(), new Metrics());
    const listed = { id: 't', service: 's', availabilityZone: 'a', slots: 1, draining: false };
    state = new TargetState({ ...listed, address: formatAddress(address) }, CLOCK);
    lifeCycle = new LifeCycle();
    lifeCycle.add('target', target);
    lifeCycle.add('connections', connections);
    await lifeCycle.start();
  });

  afterEach(() => lifeCycle.stop());

  /** Creates an attempt that is paused at its first piece; the target then ends the response. */
  const preparePaused = (script: ScriptedResponse) => {
    let onPaused = (): void => undefined;
    const beforeEnding = new Promise<void>((resolve) => {
      onPaused = resolve;
    });
    target.scripts.push({ ...script, beforeEnding });
    const connection = connections.acquire(state);
    const attempt = new Attempt({
      connection,
      ...REQUEST,
      receiver: {
        begin: () => undefined,
        write: () => {
          onPaused();
          return false;
        },
      },
    });
    return { attempt, connection };
  };

  const runPaused = (script: ScriptedResponse): Promise<AttemptOutcome> =>
    preparePaused(script).attempt.run();

  it('ends when the target resets the connection', async () => {
    for (const framing of ['connection', 'chunked', 'length'] as const) {
      const script = { framing, body: ['data: a\n\n'], ending: 'reset' } as const;
      expect([framing, await runPaused(script)]).toMatchObject([framing, { kind: 'unknown' }]);
    }
  });

  it.each(['connection', 'length'] as const)(
    'has the whole response, delimited by its %s, when the target closes the connection meanwhile',
    async (framing) => {
      const script = { framing, body: ['data: a\n\n'], ending: 'complete', closes: true } as const;
      const { attempt, connection } = preparePaused(script);
      const outcome = attempt.run();
      while (connection.ending() === 'open') await new Promise((resolve) => setImmediate(resolve));
      attempt.resume();
      expect(await outcome).toEqual({ kind: 'streamed' });
    },
  );
});

// Guards against a second run: a request that is reported as unsent is sent to another target.
describe('an attempt whose connection throws', () => {
  const runThrowing = (beforeError: TargetConnection['dispatch']): Promise<AttemptOutcome> =>
    new Attempt({
      connection: {
        dispatch: (options, handler) => {
          beforeError(options, handler);
          throw new Error('unexpected');
        },
        ending: () => 'open',
        beforePause: () => undefined,
        resume: () => undefined,
        release: () => undefined,
        discard: () => undefined,
      },
      ...REQUEST,
    }).run();

  it('reports the request as unsent if it has not started', async () => {
    expect(await runThrowing(() => undefined)).toMatchObject({ kind: 'not-sent' });
  });

  it('reports the outcome as unknown if the request has started', async () => {
    const start: TargetConnection['dispatch'] = (_options, handler) => {
      const controller = { abort: () => undefined } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, {});
    };
    expect(await runThrowing(start)).toEqual({
      kind: 'unknown',
      reason: 'unexpected',
      began: false,
    });
  });
});

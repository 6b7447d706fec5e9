import { openUnboundedAccount } from '../../resources/tests/unbounded-account';
import { Metrics, SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { DEFAULT_DECISION_SWITCHES, type Refusal } from '../../decisions';
import type { Route, RouteTable } from '../../routes';
import { EngineDemandTracker } from '../../targets';
import {
  type ChainLookup,
  type TurnClient,
  type TurnRecord,
  TurnsUnavailableError,
} from '../../turns';
import { EngineAdmission } from '../engine-admission';
import type { Exchange } from '../exchange';
import type { Forwarder, ForwardRequest } from '../forwarder';
import { UNLIMITED_ADMISSION } from '../quota-gate';
import { TurnHandler } from '../turn-handler';
import { TurnPreparer } from '../turn-preparer';

const ROUTE = {
  name: 'r',
  kind: 'stream',
  retentionSeconds: 60,
  services: [{ service: 's', weight: 1 }],
} as unknown as Route;

const TABLE = {
  configuration: { limits: { bodyBytes: 1000 } },
  service: () => undefined,
} as unknown as RouteTable;

const REQUEST_MILLISECONDS = 4000;

interface TurnOptions {
  /** Result of the lookup of the turn that is continued; without it, the turn starts a chain. */
  readonly lookUp?: () => Promise<ChainLookup>;
  readonly record?: TurnClient['record'];
  /** Whether the caller has left once its answer was streamed. */
  readonly hasDisconnected?: boolean;
  readonly outcome?: { readonly kind: string };
}

/** Handles a turn whose engine streams two events; `events` lists what the caller observes. */
function handleTurn({
  lookUp,
  record = () => Promise.resolve(),
  hasDisconnected = false,
  outcome = { kind: 'streamed' },
}: TurnOptions) {
  const clock = new ManualClock();
  const events: string[] = [];
  const refusals: Refusal[] = [];
  const bodies: string[] = [];
  let isStreamed = false;
  const head = { id: 't2', program: 'p', maxTokens: 10, parts: [], promptTokens: 5 };
  const exchange = {
    head: { ...head, previousTurn: lookUp === undefined ? undefined : 't1' },
    deadline: clock.monotonic() + REQUEST_MILLISECONDS,
    response: { on: () => undefined, write: () => true, end: () => events.push('end') },
    readBody: () => Promise.resolve(Buffer.from('new input')),
    openAccount: openUnboundedAccount,
    recordDecision: () => undefined,
    beginResponse: () => events.push('begin'),
    hasDisconnected: () => isStreamed && hasDisconnected,
    abort: () => events.push('abort'),
    log: () => undefined,
    refuse: (refusal: Refusal) => refusals.push(refusal),
  } as unknown as Exchange;
  const forward = ({ receiver, body }: ForwardRequest) => {
    bodies.push(String(body));
    receiver?.begin(200, []);
    receiver?.write(Buffer.from('data: one\n\ndata: two\n\n'));
    isStreamed = true;
    return Promise.resolve(outcome);
  };
  const hasRoomFor = () => true;
  const turns = {
    chain: lookUp,
    record,
    hasRoomFor,
    settle: () => undefined,
  } as unknown as TurnClient;
  const handler = new TurnHandler({
    forwarder: { forward } as unknown as Forwarder,
    preparer: new TurnPreparer({ turns, quorumMonitor: { reachesQuorum: true }, clock }),
    quotaGate: { requestAdmission: () => UNLIMITED_ADMISSION },
    turns,
    engineAdmission: new EngineAdmission({
      chooser: { loadOf: () => ({ load: 0, slots: 1 }) },
      tracker: new EngineDemandTracker(),
      fairShares: undefined,
      durations: { averageOf: () => 600 },
      switches: DEFAULT_DECISION_SWITCHES,
      random: new SeededRandom(1),
    }),
    chooser: { recordParts: () => undefined },
    clock,
    metrics: new Metrics(),
  });
  const handled = handler.handle(exchange, ROUTE, TABLE);
  return { handled, events, refusals, bodies, clock };
}

function createRecord(id: string, previous: string | undefined): TurnRecord {
  return {
    id,
    program: 'p',
    previous,
    input: Buffer.from(`${id} in\n`),
    output: Buffer.from(`${id} out\n`),
    tokens: 1,
    contextTokens: 1,
    endedAt: 0,
    retentionSeconds: 60,
    target: 'e',
  };
}

// Guards against a turn that its caller takes for kept although no quorum has recorded it.
describe('a turn that the engine has completed', () => {
  describe('while it is being recorded', () => {
    it('does not end for its caller before a quorum has recorded it', async () => {
      let finishRecord: () => void = () => undefined;
      const recorded = new Promise<void>((resolve) => {
        finishRecord = resolve;
      });
      const { handled, events } = handleTurn({ record: () => recorded });
      await new Promise(setImmediate);
      expect(events).toEqual(['begin']);
      finishRecord();
      await handled;
      expect(events).toEqual(['begin', 'end']);
    });

    it('gives the stores seconds, also if the request is late', async () => {
      const waits: number[] = [];
      const record = (_record: TurnRecord, deadline: number) => {
        waits.push(deadline - clock.monotonic());
        return Promise.resolve();
      };
      const { handled, clock } = handleTurn({ record });
      clock.advance(REQUEST_MILLISECONDS);
      await handled;
      expect(waits).toEqual([2500]);
    });
  });

  describe('when too few stores answer', () => {
    it('is broken off, so that its caller does not continue it', async () => {
      const record = () => Promise.reject(new TurnsUnavailableError('too few stores answer'));
      const { handled, events } = handleTurn({ record });
      await handled;
      expect(events).toEqual(['begin', 'abort']);
    });
  });

  describe('when its caller has disconnected', () => {
    it('is recorded, since the caller may have received all of it', async () => {
      const record = jest.fn(() => Promise.resolve());
      const { handled } = handleTurn({ record, hasDisconnected: true });
      await handled;
      expect(record).toHaveBeenCalledTimes(1);
    });
  });
});

// Guards against a turn that continues a recorded one and is told that this one does not exist.
describe('a turn that continues another one', () => {
  describe('which exists', () => {
    it('is sent with the inputs and outputs of the whole chain', async () => {
      const records = [createRecord('t0', undefined), createRecord('t1', 't0')];
      const { handled, bodies } = handleTurn({
        lookUp: () => Promise.resolve({ kind: 'found', records }),
      });
      await handled;
      expect(bodies).toEqual(['t0 in\nt0 out\nt1 in\nt1 out\nnew input']);
    });
  });

  describe('which a quorum reports as absent', () => {
    it('is refused with 404 and not sent', async () => {
      const { handled, refusals, bodies } = handleTurn({
        lookUp: () => Promise.resolve({ kind: 'absent' }),
      });
      await handled;
      expect([refusals, bodies]).toMatchObject([[{ status: 404 }], []]);
    });
  });

  describe('which no quorum can find or report as absent', () => {
    it('is refused with 503 and a time to retry, and not sent', async () => {
      const { handled, refusals, bodies } = handleTurn({
        lookUp: () => Promise.reject(new TurnsUnavailableError('too few stores answer')),
      });
      await handled;
      expect([refusals, bodies]).toMatchObject([[{ status: 503, retryAfterSeconds: 0.3 }], []]);
    });
  });

  describe('when its lookup fails unexpectedly', () => {
    it('is not refused as absent', async () => {
      const { handled, refusals } = handleTurn({
        lookUp: () => Promise.reject(new Error('unexpected')),
      });
      await expect(handled).rejects.toThrow('unexpected');
      expect(refusals).toEqual([]);
    });
  });
});

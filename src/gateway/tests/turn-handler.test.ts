import { Metrics, SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { ALL_DECISIONS, type Refusal } from '../../decisions';
import type { Route, RouteTable } from '../../routes';
import { type TurnClient, TurnsUnavailable } from '../../turns';
import type { Exchange } from '../exchange';
import type { Forwarder } from '../forwarder';
import { QuotaGate } from '../quota-gate';
import { TurnHandler } from '../turn-handler';
import { TurnPreparer } from '../turn-preparer';

const ROUTE = { name: 'r', kind: 'stream', retentionSeconds: 60 } as unknown as Route;
/** The callers here have no team. */
const WITHOUT_QUOTAS = new QuotaGate({
  quotas: { admit: () => Promise.reject(new Error('not expected')), giveBack: () => undefined },
  random: new SeededRandom(1),
});

const TABLE = { configuration: { limits: { bodyBytes: 1000 } } } as unknown as RouteTable;

/** Handles one turn while no store answers; returns the refusal and the time that was allowed. */
async function refuseWithoutStores(reachesQuorum: boolean) {
  const clock = new ManualClock();
  const refusals: Refusal[] = [];
  const deadlines: number[] = [];
  const exchange = {
    head: { id: 't', program: 'p', budget: 100, mostTokens: 10, parts: [], promptTokens: 5 },
    deadline: clock.monotonic() + 4000,
    readBody: () => Promise.resolve(Buffer.from('x')),
    decide: () => undefined,
    refuse: (refusal: Refusal) => refusals.push(refusal),
  } as unknown as Exchange;
  const turns = {
    reserve: ({ deadline }: { readonly deadline: number }) => {
      deadlines.push(deadline - clock.monotonic());
      return Promise.reject(new TurnsUnavailable('too few stores answer'));
    },
    settle: () => undefined,
  } as unknown as TurnClient;
  const handler = new TurnHandler({
    forwarder: {} as unknown as Forwarder,
    preparer: new TurnPreparer({ turns, watch: { reachesQuorum }, clock }),
    quotaGate: WITHOUT_QUOTAS,
    turns,
    chooser: { noteParts: () => undefined, loadOf: () => ({ load: 0, slots: 1 }) },
    random: new SeededRandom(1),
    switches: ALL_DECISIONS,
    clock,
    metrics: new Metrics(),
  });
  await handler.handle(exchange, ROUTE, TABLE);
  return { refusal: refusals[0], allowedMilliseconds: deadlines[0] };
}

describe('a turn for which too few stores answer', () => {
  it('is refused within 50 ms where they are known to be out of reach, for a second', async () => {
    const { refusal, allowedMilliseconds } = await refuseWithoutStores(false);
    expect(refusal).toMatchObject({ status: 503, retryAfterSeconds: 1 });
    expect(allowedMilliseconds).toBeLessThan(50);
  });

  it('is tried for longer where they answered lately, and is to come back sooner', async () => {
    const { refusal, allowedMilliseconds } = await refuseWithoutStores(true);
    expect(refusal).toMatchObject({ status: 503, retryAfterSeconds: 0.3 });
    expect(allowedMilliseconds).toBeGreaterThan(1000);
  });
});

/** Handles a turn while 20 requests are under way at 10 places; `taken` by its program before. */
async function handleInOverload(taken: number, previousTurn?: string) {
  const clock = new ManualClock();
  const refusals: Refusal[] = [];
  const settled: number[] = [];
  const forward = jest.fn(() => Promise.resolve({ kind: 'gone' }));
  const head = { id: 't', program: 'p', budget: 100, mostTokens: 10, parts: [], promptTokens: 5 };
  const exchange = {
    head: { ...head, previousTurn },
    deadline: clock.monotonic() + 4000,
    response: { on: () => undefined },
    readBody: () => Promise.resolve(Buffer.from('x')),
    decide: () => undefined,
    log: () => undefined,
    refuse: (refusal: Refusal) => refusals.push(refusal),
  } as unknown as Exchange;
  const turns = {
    reserve: () => Promise.resolve({ fits: true, taken }),
    chain: () => Promise.resolve({ kind: 'found', records: [] }),
    settle: (_program: string, _turn: string, tokens: number) => settled.push(tokens),
  } as unknown as TurnClient;
  const handler = new TurnHandler({
    forwarder: { forward } as unknown as Forwarder,
    preparer: new TurnPreparer({ turns, watch: { reachesQuorum: true }, clock }),
    quotaGate: WITHOUT_QUOTAS,
    turns,
    chooser: { noteParts: () => undefined, loadOf: () => ({ load: 20, slots: 10 }) },
    random: new SeededRandom(1),
    switches: ALL_DECISIONS,
    clock,
    metrics: new Metrics(),
  });
  await handler.handle(exchange, { ...ROUTE, services: [{ service: 's', weight: 1 }] }, TABLE);
  return { refusals, settled, sent: forward.mock.calls.length };
}

describe('a turn while the engines are overloaded', () => {
  it('is refused as not run where it begins a program, and gives its reservation back', async () => {
    const { refusals, settled, sent } = await handleInOverload(0);
    expect(refusals).toMatchObject([{ status: 503, code: 'overloaded' }]);
    expect(settled).toEqual([0]);
    expect(sent).toBe(0);
  });

  it('is sent where its program has generated something, or continues a turn', async () => {
    expect(await handleInOverload(35)).toMatchObject({ refusals: [], sent: 1 });
    expect(await handleInOverload(0, 'earlier')).toMatchObject({ refusals: [], sent: 1 });
  });
});

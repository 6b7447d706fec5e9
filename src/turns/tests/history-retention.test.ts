import { rankReplicas } from '../replica-ranking';
import type { TurnRecord } from '..';
import { HistoryCluster } from './history-cluster';

const RETENTION_SECONDS = 60;

const PROGRAM = 'p';

function recordOf(id: string, previous: string | undefined, endedAt: number): TurnRecord {
  const input = Buffer.from(id);
  const sizes = { tokens: 1, contextTokens: 1, retentionSeconds: RETENTION_SECONDS };
  return { id, program: PROGRAM, previous, input, output: input, ...sizes, endedAt, target: 'e1' };
}

async function createCluster() {
  const failures: string[] = [];
  const cluster = new HistoryCluster({
    seed: 1,
    toleratedLosses: 1,
    spares: 0,
    onCommit: () => undefined,
    onFailure: (message) => failures.push(message),
  });
  cluster.startAll();
  await cluster.clock.runUntil(1500);
  const [gateway] = cluster.gateways;
  const { turns, view } = gateway ?? {};
  if (turns === undefined || view?.value === undefined) throw new Error('no view was committed');
  const stores = rankReplicas(view.value, PROGRAM).flatMap((member) =>
    cluster.stores.filter(({ name }) => name === member.name),
  );
  const [first, second] = stores;
  if (first === undefined || second === undefined) throw new Error('no stores');
  const record = async (id: string, previous: string | undefined) => {
    const { clock } = cluster;
    const recorded = turns.record(recordOf(id, previous, clock.now()), clock.monotonic() + 1500);
    await clock.runUntil(clock.monotonic() + 1600);
    await recorded;
  };
  const read = async (id: string) => {
    const { clock } = cluster;
    const reading = turns.chain(id, PROGRAM, clock.monotonic() + 5000).then(
      (chain) => (chain.kind === 'found' ? chain.records.map((record) => record.id) : chain.kind),
      (error: unknown) => String(error),
    );
    await clock.runUntil(clock.monotonic() + 5100);
    return reading;
  };
  return { cluster, failures, first, second, record, read };
}

/**
 * Guards against a store that expires the first turns of a chain because it does not hold the later
 * ones, which other stores hold.
 */
describe('a chain whose first turn is older than its retention', () => {
  it('is whole after one store missed the later turns and another one lost its disk', async () => {
    const { cluster, failures, first, second, record, read } = await createCluster();
    const { clock } = cluster;
    await record('t1', undefined);
    cluster.killStore(second);
    await clock.runUntil(55_000);
    await record('t2', 't1');
    await clock.runUntil(110_000);
    await record('t3', 't2');
    cluster.startStore(second);
    await clock.runUntil(140_000);
    expect(await read('t3')).toEqual(['t1', 't2', 't3']);
    cluster.wipe(first);
    cluster.startStore(first);
    await clock.runUntil(155_000);
    expect(await read('t3')).toEqual(['t1', 't2', 't3']);
    expect(failures).toEqual([]);
  });
});

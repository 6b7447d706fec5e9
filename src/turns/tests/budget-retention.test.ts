import { rankReplicas } from '../replica-ranking';
import { HistoryCluster } from './history-cluster';
import { createRecord } from './store-group';

const RETENTION_SECONDS = 60;

const PROGRAM = 'p';

const TOKENS = 4;

const BUDGET = 1000;

async function createCluster() {
  const failures: string[] = [];
  const cluster = new HistoryCluster({
    seed: 1,
    toleratedLosses: 1,
    spares: 0,
    onCommit: () => undefined,
    onFailure: (message) => failures.push(message),
  });
  const { clock } = cluster;
  cluster.startAll();
  await clock.runUntil(1500);
  const [gateway] = cluster.gateways;
  const { turns, view } = gateway ?? {};
  if (turns === undefined || view?.value === undefined) throw new Error('no view was committed');
  const [first, second] = rankReplicas(view.value, PROGRAM).flatMap((member) =>
    cluster.stores.filter(({ name }) => name === member.name),
  );
  if (first === undefined || second === undefined) throw new Error('no stores');
  const whileRunning = async <Value>(operation: Promise<Value>): Promise<Value> => {
    await clock.runUntil(clock.monotonic() + 1600);
    return operation;
  };
  const deadline = () => clock.monotonic() + 1500;
  /** Resolves with the tokens that the program's other turns hold. */
  const reserve = async (turn: string): Promise<number> => {
    const limits = { maxTokens: TOKENS, budget: BUDGET, deadline: deadline() };
    const reserved = await whileRunning(turns.reserve({ program: PROGRAM, turn, ...limits }));
    return reserved.committedTokens;
  };
  const run = async (id: string, previous?: string) => {
    await reserve(id);
    const kept = { retentionSeconds: RETENTION_SECONDS, endedAt: clock.now() };
    const record = createRecord(id, { program: PROGRAM, previous, tokens: TOKENS, ...kept });
    await whileRunning(turns.record(record, deadline()));
  };
  return { cluster, failures, first, second, run, reserve };
}

// Guards against a store that forgets the tokens of a program which goes on at other stores.
describe('the budget of a program whose first turns are older than their retention', () => {
  describe('after one store missed the later turns and another one lost its disk', () => {
    it('still counts the turn of a sub-agent, which no later turn continues', async () => {
      const { cluster, failures, first, second, run, reserve } = await createCluster();
      const { clock } = cluster;
      await run('t1');
      await run('sub-agent', 't1');
      cluster.killStore(second);
      await clock.runUntil(55_000);
      await run('t2', 't1');
      await clock.runUntil(110_000);
      await run('t3', 't2');
      cluster.startStore(second);
      await clock.runUntil(140_000);
      expect(await reserve('t4')).toBe(4 * TOKENS);
      cluster.wipe(first);
      cluster.startStore(first);
      await clock.runUntil(155_000);
      expect(await reserve('t4')).toBe(4 * TOKENS);
      expect(failures).toEqual([]);
    });
  });
});

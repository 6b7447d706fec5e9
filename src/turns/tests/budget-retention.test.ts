import { QuietCluster } from './quiet-cluster';
import { createRecord } from './store-group';

const RETENTION_SECONDS = 60;

const PROGRAM = 'p';

const TOKENS = 4;

const BUDGET = 1000;

// Guards against a store that forgets the tokens of a program which goes on at other stores.
describe('the budget of a program whose first turns are older than their retention', () => {
  let quiet: QuietCluster;

  beforeEach(async () => {
    quiet = await QuietCluster.start();
  });

  /** Resolves with the tokens that the program's other turns hold. */
  const reserve = async (turn: string): Promise<number> => {
    const request = { program: PROGRAM, turn, maxTokens: TOKENS, budget: BUDGET };
    const reserved = await quiet.call(0, (turns, deadline) =>
      turns.reserve({ ...request, deadline }),
    );
    return reserved.committedTokens;
  };

  const run = async (id: string, previous?: string) => {
    await reserve(id);
    const times = { retentionSeconds: RETENTION_SECONDS, endedAt: quiet.cluster.clock.now() };
    const record = createRecord(id, { program: PROGRAM, previous, tokens: TOKENS, ...times });
    await quiet.call(0, (turns, deadline) => turns.record(record, deadline));
  };

  describe('after one store missed the later turns and another one lost its disk', () => {
    it('still counts the turn of a sub-agent, which no later turn continues', async () => {
      const [first, second] = quiet.replicasOf(PROGRAM);
      if (second === undefined) throw new Error('no second replica');
      await run('t1');
      await run('sub-agent', 't1');
      quiet.cluster.killStore(second);
      await quiet.advance(50);
      await run('t2', 't1');
      await quiet.advance(50);
      await run('t3', 't2');
      quiet.cluster.startStore(second);
      await quiet.advance(30);
      expect(await reserve('t4')).toBe(4 * TOKENS);
      quiet.loseDisk(first);
      await quiet.advance(15);
      expect(await reserve('t4')).toBe(4 * TOKENS);
      expect(quiet.failures).toEqual([]);
    });
  });
});

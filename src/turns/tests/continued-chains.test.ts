import fc from 'fast-check';
import { ContinuedChainsSimulation } from './continued-chains-simulation';
import { type HistorySchedule, historySchedules } from './history-schedule';
import type { LossRules } from './loss-allowance';
import { QuietCluster } from './quiet-cluster';
import { createRecord } from './store-group';

/** More runs: `CHAIN_RUNS=200 CHAIN_SEED=7 npx jest src/turns/tests/continued-chains`. */
const RUNS = process.env['CHAIN_RUNS'];
const SEED = Number(process.env['CHAIN_SEED'] ?? 20_261_204);

const SHORT_RUNS = 4;

/** Allowance for one run on a busy machine. */
const RUN_TIMEOUT_MILLISECONDS = 20_000;

const WITHIN_TOLERANCE: LossRules = {
  outagesOverlap: false,
  powerWhileLost: false,
  lostDisks: true,
  halves: false,
};
const OVERLAPPING_LOSSES: LossRules = {
  ...WITHIN_TOLERANCE,
  outagesOverlap: true,
  powerWhileLost: true,
};

/** Stretches the time between failures, so that chains outlive the expiry of their first turns. */
const GAP_FACTOR = 10;

const schedules: fc.Arbitrary<HistorySchedule> = historySchedules.map((schedule) => ({
  ...schedule,
  events: schedule.events.map((event) => ({ ...event, gap: event.gap * GAP_FACTOR })),
}));

const RETENTION_SECONDS = 20;

const CATCH_UP_SECONDS = 5;

const CONVERSATIONS = Array.from({ length: 12 }, (_, index) => `c${index}`);

/** Turns of a conversation, the first of which is then two retentions past its expiry. */
const CONTINUED_TURNS = 14;

/** Resolves with the length of a chain, or with why it can't be read. */
async function readLength(
  quiet: QuietCluster,
  id: string,
  program: string,
): Promise<number | string> {
  const chain = await quiet
    .call(1, (turns, deadline) => turns.chain(id, program, deadline))
    .catch((error: unknown) => ({ kind: String(error) }) as const);
  return 'records' in chain ? chain.records.length : chain.kind;
}

async function expectNoViolations(rules: LossRules): Promise<void> {
  await fc.assert(
    fc.asyncProperty(schedules, async (schedule) => {
      const { violations, trace } = await new ContinuedChainsSimulation(schedule, rules).run();
      expect(violations.length === 0 ? [] : [...violations, ...trace]).toEqual([]);
    }),
    { numRuns: Number(RUNS ?? SHORT_RUNS), seed: SEED, endOnFailure: true },
  );
}

const TIMEOUT_MILLISECONDS = Number(RUNS ?? SHORT_RUNS) * RUN_TIMEOUT_MILLISECONDS;

// Guards against a store that expires turns which a turn at another store continues.
describe('a chain that goes on for longer than its first turns are retained', () => {
  describe('in a second program, until one store loses its disk', () => {
    it('is whole at another gateway', async () => {
      const quiet = await QuietCluster.start();
      const record = (id: string, previous: string | undefined, program: string) => {
        const times = { endedAt: quiet.cluster.clock.now(), retentionSeconds: RETENTION_SECONDS };
        const turn = createRecord(id, { previous, program, ...times });
        return quiet.call(0, (turns, deadline) => turns.record(turn, deadline));
      };
      await Promise.all(
        CONVERSATIONS.map((name) => record(`${name}-1`, undefined, `first ${name}`)),
      );
      for (let count = 2; count <= CONTINUED_TURNS; count += 1) {
        await quiet.advance(RETENTION_SECONDS / 2);
        const recordNext = (name: string) =>
          record(`${name}-${count}`, `${name}-${count - 1}`, `second ${name}`);
        await Promise.all(CONVERSATIONS.map(recordNext));
      }
      quiet.loseDisk(quiet.cluster.stores[0]);
      await quiet.advance(CATCH_UP_SECONDS);
      const lengths = await Promise.all(
        CONVERSATIONS.map((name) =>
          readLength(quiet, `${name}-${CONTINUED_TURNS}`, `second ${name}`),
        ),
      );
      expect(lengths).toEqual(CONVERSATIONS.map(() => CONTINUED_TURNS));
      expect(quiet.failures).toEqual([]);
    });
  });

  describe('under random orders of failures, restarts and view changes', () => {
    it(
      'is whole while no more stores are lost than tolerated',
      () => expectNoViolations(WITHIN_TOLERANCE),
      TIMEOUT_MILLISECONDS,
    );

    it(
      'is whole when outages overlap and no more disks are lost than tolerated',
      () => expectNoViolations(OVERLAPPING_LOSSES),
      TIMEOUT_MILLISECONDS,
    );
  });
});

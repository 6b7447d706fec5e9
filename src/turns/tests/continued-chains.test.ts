import fc from 'fast-check';
import { ContinuedChainsSimulation } from './continued-chains-simulation';
import { HistoryCluster } from './history-cluster';
import { type HistorySchedule, historySchedules } from './history-schedule';
import type { LossRules } from './loss-allowance';
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

const START_SECONDS = 2;

const CATCH_UP_SECONDS = 5;

const CONVERSATIONS = Array.from({ length: 12 }, (_, index) => `c${index}`);

/** Turns of a conversation, the first of which is then two retentions past its expiry. */
const CONTINUED_TURNS = 14;

/** Time for which the simulation runs while a turn is recorded or read. */
const CALL_SECONDS = 2;

function createCluster() {
  const failures: string[] = [];
  const cluster = new HistoryCluster({
    seed: 1,
    toleratedLosses: 1,
    spares: 0,
    onCommit: () => undefined,
    onFailure: (message) => failures.push(message),
  });
  cluster.startAll();
  const { clock } = cluster;
  const advance = (seconds: number) => clock.runUntil(clock.monotonic() + seconds * 1000);
  const gateway = (index: number) => {
    const turns = cluster.gateways[index]?.turns;
    if (turns === undefined) throw new Error(`gateway ${index} does not run`);
    return turns;
  };
  const deadline = () => clock.monotonic() + (CALL_SECONDS * 1000) / 2;
  const record = async (id: string, previous: string | undefined, program: string) => {
    const times = { endedAt: clock.now(), retentionSeconds: RETENTION_SECONDS };
    const recorded = gateway(0).record(
      createRecord(id, { previous, program, ...times }),
      deadline(),
    );
    await advance(CALL_SECONDS);
    await recorded;
  };
  /** Resolves with the length of the chain. */
  const read = async (id: string, program: string) => {
    const reading = gateway(1)
      .chain(id, program, deadline())
      .then(
        (chain) => (chain.kind === 'found' ? chain.records.length : chain.kind),
        (error: unknown) => String(error),
      );
    await advance(CALL_SECONDS);
    return reading;
  };
  return { cluster, failures, advance, record, read };
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
      const { cluster, advance, record, read, failures } = createCluster();
      await advance(START_SECONDS);
      await Promise.all(
        CONVERSATIONS.map((name) => record(`${name}-1`, undefined, `first ${name}`)),
      );
      for (let count = 2; count <= CONTINUED_TURNS; count += 1) {
        await advance(RETENTION_SECONDS / 2);
        const previous = (name: string) => `${name}-${count - 1}`;
        await Promise.all(
          CONVERSATIONS.map((name) => record(`${name}-${count}`, previous(name), `second ${name}`)),
        );
      }
      const [store] = cluster.stores;
      if (store === undefined) throw new Error('no stores');
      cluster.wipe(store);
      cluster.startStore(store);
      await advance(CATCH_UP_SECONDS);
      const lengths = await Promise.all(
        CONVERSATIONS.map((name) => read(`${name}-${CONTINUED_TURNS}`, `second ${name}`)),
      );
      expect(lengths).toEqual(CONVERSATIONS.map(() => CONTINUED_TURNS));
      expect(failures).toEqual([]);
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

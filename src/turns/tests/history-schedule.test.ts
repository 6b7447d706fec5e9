import fc from 'fast-check';
import { type HistorySchedule, historySchedules } from './history-schedule';
import { HistorySimulation } from './history-simulation';
import type { LossRules } from './loss-allowance';

/** More runs, with shrinking: `HISTORY_RUNS=500 HISTORY_SEED=7 npx jest src/turns/tests/history-schedule`. */
const RUNS = process.env['HISTORY_RUNS'];
const SEED = Number(process.env['HISTORY_SEED'] ?? 20_261_204);

const SHORT_RUNS = 5;

/** Allowance for one run on a busy machine. */
const RUN_TIMEOUT_MILLISECONDS = 5000;

const WITHIN_TOLERANCE: LossRules = {
  outagesOverlap: false,
  powerWhileLost: false,
  halves: false,
};
const HALVES: LossRules = { ...WITHIN_TOLERANCE, halves: true };
const OVERLAPPING: LossRules = { ...WITHIN_TOLERANCE, outagesOverlap: true, powerWhileLost: true };

/** Violations, if any, followed by the events, views and acknowledgements of the run. */
async function violationsOf(
  schedule: HistorySchedule,
  rules: LossRules,
): Promise<readonly string[]> {
  const { violations, trace } = await new HistorySimulation(schedule, rules).run();
  return violations.length === 0 ? [] : [...violations, ...trace];
}

async function expectNoViolations(rules: LossRules): Promise<void> {
  await fc.assert(
    fc.asyncProperty(historySchedules, async (schedule) => {
      expect(await violationsOf(schedule, rules)).toEqual([]);
    }),
    { numRuns: Number(RUNS ?? SHORT_RUNS), seed: SEED, endOnFailure: RUNS === undefined },
  );
}

const TIMEOUT_MILLISECONDS = Number(RUNS ?? SHORT_RUNS) * RUN_TIMEOUT_MILLISECONDS;

/**
 * Guards against acknowledged turns that are reported as absent, or stay unreadable once all hosts
 * are back. fast-check prints seed and path of a failure; pass them to `fc.assert` to replay it.
 */
describe('histories under random orders of failures, restarts and view changes', () => {
  it(
    'keeps each acknowledged turn while no more stores are lost than tolerated',
    () => expectNoViolations(WITHIN_TOLERANCE),
    TIMEOUT_MILLISECONDS,
  );

  it(
    'keeps each acknowledged turn while the hosts with data are cut into two halves',
    () => expectNoViolations(HALVES),
    TIMEOUT_MILLISECONDS,
  );

  it(
    'keeps each acknowledged turn when outages overlap and no more disks are lost than tolerated',
    () => expectNoViolations(OVERLAPPING),
    TIMEOUT_MILLISECONDS,
  );

  it('records, reads and changes views in a simulated run', async () => {
    const [schedule] = fc.sample(historySchedules, { numRuns: 1, seed: 4 });
    if (schedule === undefined) throw new Error('no schedule');
    const report = await new HistorySimulation(schedule, OVERLAPPING).run();
    expect(report.acknowledged).toBeGreaterThan(50);
    expect(report.reads).toBeGreaterThan(100);
    const views = report.trace.filter((line) => line.includes('committed epoch'));
    expect(views.length).toBeGreaterThan(1);
  });

  describe('a member replaced while a quorum of members is in the half without the leader', () => {
    // The leader misses the heartbeats of one member first, and counts the others as complete.
    it('is not read as absent by a gateway in that half', async () => {
      const halves = {
        kind: 'halves',
        stores: { by: 'number', numbers: [0, 1] },
        gateways: [2],
        milliseconds: 4000,
        gap: 1035,
        trigger: 'none',
      } as const;
      const schedule = { seed: 5, toleratedLosses: 1, spares: 1, events: [halves] };
      expect(await violationsOf(schedule, HALVES)).toEqual([]);
    });
  });

  describe('a member replaced before its replacement has completed its backfill', () => {
    const cutOff = {
      kind: 'cut',
      stores: { by: 'number', numbers: [0] },
      milliseconds: 5000,
      gap: 507,
      trigger: 'none',
    } as const;

    it('still provides the turns if all power and the disk of another member are lost', async () => {
      const powerLoss = {
        kind: 'all-power',
        wiped: { by: 'number', numbers: [1] },
        downMilliseconds: 500,
        gap: 0,
        trigger: 'view',
      } as const;
      const schedule = { seed: 1, toleratedLosses: 1, spares: 1, events: [cutOff, powerLoss] };
      expect(await violationsOf(schedule, OVERLAPPING)).toEqual([]);
    });

    it('still provides the turns if another member lost its disk before it was replaced', async () => {
      const lostDisk = {
        kind: 'wipe',
        stores: { by: 'number', numbers: [1] },
        downMilliseconds: 900,
        gap: 900,
        trigger: 'acknowledgement',
      } as const;
      const schedule = { seed: 1, toleratedLosses: 1, spares: 1, events: [cutOff, lostDisk] };
      expect(await violationsOf(schedule, OVERLAPPING)).toEqual([]);
    });
  });
});

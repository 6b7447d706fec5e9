import fc from 'fast-check';
import { clusterSchedule } from './cluster-schedule-arbitrary';
import { runSchedule } from './schedule-run';

const RUNS = Number(process.env['CLUSTER_SCHEDULE_RUNS'] ?? 8);
const SEED = Number(process.env['CLUSTER_SCHEDULE_SEED'] ?? 20_261_204);

/** fast-check prints seed and path of a failure; pass them to `fc.assert` to replay it. */
describe('the cluster state', () => {
  describe('with lost disks, power losses, cuts, restarts and replaced hosts in any order', () => {
    it('keeps every acknowledged configuration and never goes back', async () => {
      await fc.assert(
        fc.asyncProperty(clusterSchedule, async (input) => {
          const { violations } = await runSchedule(input);
          expect(violations).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    }, 3_600_000);
  });
});

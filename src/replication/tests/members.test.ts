import fc from 'fast-check';
import { MemberCluster } from './member-cluster';

const STEPS = 1200;

/** fast-check prints seed and path of a failure; give them to `fc.assert` to replay it. */
describe('the members of a replicated log, without their drivers', () => {
  describe('under drops, delays, repeats, cuts, freezes and crashes', () => {
    it('never commits two entries at one index, nor has two leaders in a term', () => {
      const seeds = fc.integer({ min: 1, max: 2 ** 31 - 1 });
      const sizes = fc.constantFrom(1, 3, 5);
      fc.assert(
        fc.property(seeds, sizes, (seed, size) => {
          const report = new MemberCluster(seed, size).run(STEPS);
          expect(report.violations).toEqual([]);
        }),
        { numRuns: 150, seed: 20_261_202 },
      );
    });

    it('commits and changes leaders at all in these runs', () => {
      const reports = [1, 2, 3, 4, 5, 6].map((seed) => new MemberCluster(seed, 3).run(STEPS));
      const committed = reports.reduce((sum, report) => sum + report.committed, 0);
      const leaders = reports.reduce((sum, report) => sum + report.leaders, 0);
      expect(committed).toBeGreaterThan(50);
      expect(leaders).toBeGreaterThan(reports.length);
    });
  });
});

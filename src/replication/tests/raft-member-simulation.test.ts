import fc from 'fast-check';
import { RaftMemberSimulation } from './raft-member-simulation';

const STEPS = 1200;

/** To replay a failure, pass the printed seed and path to `fc.assert`. */
describe('simulated Raft members without drivers', () => {
  describe('with message loss, delay, duplication, blocked links, suspended members and crashes', () => {
    it('commit one entry per index and elect one leader per term', () => {
      const seeds = fc.integer({ min: 1, max: 2 ** 31 - 1 });
      const sizes = fc.constantFrom(1, 3, 5);
      fc.assert(
        fc.property(seeds, sizes, (seed, size) => {
          const report = new RaftMemberSimulation(seed, size).run(STEPS);
          expect(report.violations).toEqual([]);
        }),
        { numRuns: 150, seed: 20_261_202 },
      );
    });

    it('exercise commits and leader changes', () => {
      const reports = [1, 2, 3, 4, 5, 6].map((seed) =>
        new RaftMemberSimulation(seed, 3).run(STEPS),
      );
      const committed = reports.reduce((sum, report) => sum + report.committed, 0);
      const leaders = reports.reduce((sum, report) => sum + report.leaders, 0);
      expect(committed).toBeGreaterThan(50);
      expect(leaders).toBeGreaterThan(reports.length);
    });
  });
});

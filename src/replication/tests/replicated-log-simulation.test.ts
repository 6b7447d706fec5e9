import fc from 'fast-check';
import { ReplicatedLogSimulation, type SimulationReport } from './replicated-log-simulation';

const STEPS = 1500;

/** To replay a failure, pass the printed seed and path to `fc.assert`. */
describe('a simulated replicated log', () => {
  describe('with message loss, delay, duplication, blocked links, suspended hosts, power loss and disk loss', () => {
    it('keeps acknowledged commands, one committed entry per index and one leader per term', async () => {
      const seeds = fc.integer({ min: 1, max: 2 ** 31 - 1 });
      const sizes = fc.constantFrom(1, 3, 3, 5);
      await fc.assert(
        fc.asyncProperty(seeds, sizes, async (seed, size) => {
          const report = await ReplicatedLogSimulation.run(seed, size, STEPS);
          expect(report.violations).toEqual([]);
        }),
        { numRuns: 40, seed: 20_261_202 },
      );
    }, 120_000);

    it('exercises acknowledgements, leader changes, snapshots and disk replacement', async () => {
      const reports: SimulationReport[] = [];
      for (const seed of [1, 2, 3, 4, 5, 6])
        reports.push(await ReplicatedLogSimulation.run(seed, 3, STEPS));
      const sum = (value: (report: SimulationReport) => number) =>
        reports.reduce((total, report) => total + value(report), 0);
      expect(sum((report) => report.acknowledged)).toBeGreaterThan(50);
      expect(sum((report) => report.leaders)).toBeGreaterThan(reports.length * 2);
      expect(sum((report) => report.snapshots)).toBeGreaterThan(0);
      expect(sum((report) => report.wipes)).toBeGreaterThan(1);
    }, 60_000);
  });
});

import fc from 'fast-check';
import { StoreSimulation } from './store-simulation';

/** fast-check prints seed and path of a failure; pass them to `fc.assert` to replay it. */
describe('turns and budgets at a quorum of stores', () => {
  describe('under power losses, lost disks, partitions, lost and reordered messages', () => {
    it('loses no recorded turn and grants no tokens beyond a budget', async () => {
      const seeds = fc.integer({ min: 1, max: 2 ** 31 - 1 });
      const sizes = fc.constantFrom([1, 3], [1, 4], [2, 5], [2, 6]);
      await fc.assert(
        fc.asyncProperty(seeds, sizes, async (seed, [toleratedLosses = 1, stores = 3]) => {
          const options = { seed, toleratedLosses, stores, steps: 250, budgetTokens: 20 };
          const report = await new StoreSimulation(options).run();
          expect(report.violations).toEqual([]);
        }),
        { numRuns: 25, seed: 20_261_202 },
      );
    }, 60_000);

    it('records turns and grants tokens in a simulated run', async () => {
      const options = { seed: 7, toleratedLosses: 1, stores: 4, steps: 250, budgetTokens: 20 };
      const report = await new StoreSimulation(options).run();
      expect(report.recorded).toBeGreaterThan(10);
      expect(report.grantedTokens).toBeGreaterThan(20);
    });
  });
});

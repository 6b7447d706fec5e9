import { WORST_LOADS } from '../worst/loads';
import { POLICIES, play } from '../worst/run';

const SEEDS = [1, 2, 3];

/** Share of the programs that end in time and tokens read for each, means over the seeds. */
function measure(loadName: string, policyName: string) {
  const load = WORST_LOADS.find(({ name }) => name === loadName);
  const policy = POLICIES.find(({ name }) => name === policyName);
  if (load === undefined || policy === undefined) throw new Error(`${loadName}, ${policyName}`);
  const outcomes = SEEDS.map((seed) => play(load, policy, seed));
  const sum = (read: (outcome: (typeof outcomes)[number]) => number) =>
    outcomes.reduce((total, outcome) => total + read(outcome), 0);
  return {
    inTime: sum(({ inTime }) => inTime) / sum(({ begun }) => begun),
    tokensRead: sum(({ tokensRead }) => tokensRead) / SEEDS.length,
  };
}

describe('loads at their worst, in simulated time', () => {
  it('come out the same for the same seed', () => {
    const [load] = WORST_LOADS;
    const [policy] = POLICIES;
    if (load === undefined || policy === undefined) throw new Error('nothing to play');
    expect(play(load, policy, 7)).toEqual(play(load, policy, 7));
  });

  describe('a burst of twice the programs', () => {
    const placed = measure('burst', 'without-refusals');

    it('is borne better with loads of 20 ms than with loads of 250 ms, or none', () => {
      expect(placed.inTime).toBeGreaterThan(measure('burst', 'old-loads').inTime + 0.05);
      expect(placed.inTime).toBeGreaterThan(measure('burst', 'without-shared-loads').inTime + 0.2);
    });

    it('is borne better where turns go to engines that hold their prompts', () => {
      const without = measure('burst', 'without-held-parts');
      expect(placed.inTime).toBeGreaterThan(without.inTime + 0.1);
      expect(placed.tokensRead).toBeLessThan(without.tokensRead * 0.9);
      expect(placed.inTime).toBeGreaterThan(measure('burst', 'without-last-target').inTime + 0.5);
    });

    it.each(['round-robin', 'least-load', 'prefix-affinity'])(
      'is borne better than by %s',
      (name) => {
        expect(placed.inTime).toBeGreaterThan(measure('burst', name).inTime + 0.03);
      },
    );
  });

  describe('demand beyond what the engines can do', () => {
    it('is borne better where programs under way go before new ones', () => {
      const usual = measure('beyond-capacity', 'usual');
      const without = measure('beyond-capacity', 'without-refusals');
      expect(usual.inTime).toBeGreaterThan(without.inTime + 0.4);
      expect(usual.tokensRead).toBeLessThan(without.tokensRead * 0.8);
    });

    it('lets more of a burst end in time, too', () => {
      const without = measure('burst', 'without-refusals');
      expect(measure('burst', 'usual').inTime).toBeGreaterThan(without.inTime + 0.1);
    });

    it('costs nothing while the engines bear the load', () => {
      const usual = measure('usual-rate', 'usual');
      expect(usual.inTime).toBeGreaterThan(0.99);
    });
  });

  it('the return of all callers at once leaves nearly all programs in time', () => {
    expect(measure('return-of-all', 'usual').inTime).toBeGreaterThan(0.98);
  });

  it('engines that leave are made up for by the others', () => {
    const placed = measure('half-a-zone-gone', 'without-refusals');
    expect(placed.inTime).toBeGreaterThan(measure('half-a-zone-gone', 'old-loads').inTime);
    expect(placed.inTime).toBeGreaterThan(0.6);
  });
});

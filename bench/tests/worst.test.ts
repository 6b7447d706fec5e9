import { LOAD_SCENARIOS } from '../worst/loads';
import { POLICIES, simulate } from '../worst/run';

const SEEDS = [1, 2, 3];

/** Small teams start few programs in a simulation. */
const TEAM_SEEDS = [1, 2, 3, 4, 5, 6];

function simulateAll(loadName: string, policyName: string, seeds: readonly number[]) {
  const load = LOAD_SCENARIOS.find(({ name }) => name === loadName);
  const policy = POLICIES.find(({ name }) => name === policyName);
  if (load === undefined || policy === undefined)
    throw new Error(`unknown load "${loadName}" or policy "${policyName}"`);
  return seeds.map((seed) => simulate(load, policy, seed));
}

/** Share on time of the programs that the load scenario counts by themselves. */
function measureCounted(loadName: string, policyName: string): number {
  const results = simulateAll(loadName, policyName, TEAM_SEEDS);
  const tallies = results.flatMap(({ counted }) => counted ?? []);
  const sum = (read: (tally: (typeof tallies)[number]) => number) =>
    tallies.reduce((total, tally) => total + read(tally), 0);
  return sum(({ onTime }) => onTime) / sum(({ started }) => started);
}

/** Share of the programs that meet their objective, and mean of the prefilled tokens per program. */
function measure(loadName: string, policyName: string) {
  const results = simulateAll(loadName, policyName, SEEDS);
  const sum = (read: (result: (typeof results)[number]) => number) =>
    results.reduce((total, result) => total + read(result), 0);
  return {
    onTimeShare: sum(({ onTime }) => onTime) / sum(({ started }) => started),
    prefilledTokensPerProgram:
      sum(({ prefilledTokensPerProgram }) => prefilledTokensPerProgram) / SEEDS.length,
  };
}

describe('worst-case loads in simulated time', () => {
  it('give equal results for equal seeds', () => {
    const [load] = LOAD_SCENARIOS;
    const [policy] = POLICIES;
    if (load === undefined || policy === undefined)
      throw new Error('no load or no policy is defined');
    expect(simulate(load, policy, 7)).toEqual(simulate(load, policy, 7));
  });

  describe('a burst at twice the base rate', () => {
    const withoutRefusals = measure('burst', 'without-refusals');

    it('meets more objectives when loads are shared every 20 ms than every 250 ms or never', () => {
      expect(withoutRefusals.onTimeShare).toBeGreaterThan(
        measure('burst', 'old-loads').onTimeShare + 0.05,
      );
      expect(withoutRefusals.onTimeShare).toBeGreaterThan(
        measure('burst', 'without-shared-loads').onTimeShare + 0.2,
      );
    });

    it('meets more objectives with fewer prefilled tokens when placement uses cached prefixes', () => {
      const withoutCachedPrefixes = measure('burst', 'without-held-parts');
      expect(withoutRefusals.onTimeShare).toBeGreaterThan(withoutCachedPrefixes.onTimeShare + 0.1);
      expect(withoutRefusals.prefilledTokensPerProgram).toBeLessThan(
        withoutCachedPrefixes.prefilledTokensPerProgram * 0.9,
      );
      expect(withoutRefusals.onTimeShare).toBeGreaterThan(
        measure('burst', 'without-last-target').onTimeShare + 0.5,
      );
    });

    it.each(['round-robin', 'least-load', 'prefix-affinity'])(
      'meets more objectives than with %s',
      (name) => {
        expect(withoutRefusals.onTimeShare).toBeGreaterThan(
          measure('burst', name).onTimeShare + 0.03,
        );
      },
    );
  });

  describe('overload refusals', () => {
    it('let more programs meet their objective when the load exceeds the capacity', () => {
      const allEnabled = measure('beyond-capacity', 'usual');
      const withoutRefusals = measure('beyond-capacity', 'without-refusals');
      expect(allEnabled.onTimeShare).toBeGreaterThan(withoutRefusals.onTimeShare + 0.4);
      expect(allEnabled.prefilledTokensPerProgram).toBeLessThan(
        withoutRefusals.prefilledTokensPerProgram * 0.8,
      );
    });

    it('let more programs of a burst meet their objective', () => {
      const withoutRefusals = measure('burst', 'without-refusals');
      expect(measure('burst', 'usual').onTimeShare).toBeGreaterThan(
        withoutRefusals.onTimeShare + 0.1,
      );
    });

    it('let nearly all programs meet their objective at the base rate', () => {
      const allEnabled = measure('usual-rate', 'usual');
      expect(allEnabled.onTimeShare).toBeGreaterThan(0.99);
    });
  });

  it('nearly all programs meet their objective after sixty start at once', () => {
    expect(measure('return-of-all', 'usual').onTimeShare).toBeGreaterThan(0.98);
  });

  it('most programs meet their objective after engines of a zone are removed', () => {
    const withoutRefusals = measure('half-a-zone-gone', 'without-refusals');
    expect(withoutRefusals.onTimeShare).toBeGreaterThan(
      measure('half-a-zone-gone', 'old-loads').onTimeShare,
    );
    expect(withoutRefusals.onTimeShare).toBeGreaterThan(0.6);
  });

  describe('teams', () => {
    const withShares = (loadName: string) => measureCounted(loadName, 'usual');
    const withoutShares = (loadName: string) => measureCounted(loadName, 'without-fair-shares');

    it('are served as without a flood of another team if they have fair shares', () => {
      const onTimeShare = withShares('team-flood');
      expect(onTimeShare).toBeGreaterThanOrEqual(0.9);
      expect(onTimeShare).toBeGreaterThan(withoutShares('team-flood') + 0.3);
    });

    it('are not served worse with fair shares in a burst of all teams', () => {
      // About 2,300 programs are counted, of which the share on time has a standard error of 0.01.
      const samplingError = 0.02;
      expect(withShares('burst-of-all-teams')).toBeGreaterThan(
        withoutShares('burst-of-all-teams') - samplingError,
      );
    });
  });
});

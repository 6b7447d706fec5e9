import { parseConfiguration, safeReadDirectory } from '..';

function targetsOf(directory: string): Readonly<Record<string, number>> {
  const files = safeReadDirectory(directory).unwrap();
  const { pools } = parseConfiguration(files);
  return Object.fromEntries(pools.map((pool) => [pool.name, pool.targets.length]));
}

describe('example configurations', () => {
  it('are valid and have the expected number of targets in each pool', () => {
    expect(targetsOf('examples/carriers')).toEqual({ 'agent-models': 8, 'checkin-core': 17 });
    expect(targetsOf('examples/photographers')).toEqual({ 'lm-assist': 6, 'gallery-app': 13 });
  });
});

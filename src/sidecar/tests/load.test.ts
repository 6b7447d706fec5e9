import { parseConfiguration } from '../../configuration';
import { localConfigurationFiles } from '../../local';
import { isEngine } from '../load';

const address = { host: '127.0.0.1', port: 7000 };
const target = { availabilityZone: 'zone-a', sidecar: address, address };

describe('isEngine', () => {
  const configuration = parseConfiguration(
    localConfigurationFiles({
      engines: [{ ...target, name: 'engine-a' }],
      plain: [{ ...target, name: 'check-in-a' }],
    }),
  );

  it('is true only for targets of engine services, the only ones that are polled for load', () => {
    expect(isEngine(configuration, 'engine-a')).toBe(true);
    expect(isEngine(configuration, 'check-in-a')).toBe(false);
    expect(isEngine(configuration, 'elsewhere')).toBe(false);
    expect(isEngine(undefined, 'engine-a')).toBe(false);
  });
});

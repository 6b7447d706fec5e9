import { parseConfiguration } from '../../configuration';
import { localFiles } from '../../local';
import { isEngine } from '../load';

const address = { host: '127.0.0.1', port: 7000 };
const target = { availabilityZone: 'zone-a', sidecar: address, address };

describe('the load of a target', () => {
  const configuration = parseConfiguration(
    localFiles({
      engines: [{ ...target, name: 'engine-a' }],
      plain: [{ ...target, name: 'check-in-a' }],
    }),
  );

  it('is asked of engines only: a plain service gets no request that no caller made', () => {
    expect(isEngine(configuration, 'engine-a')).toBe(true);
    expect(isEngine(configuration, 'check-in-a')).toBe(false);
    expect(isEngine(configuration, 'elsewhere')).toBe(false);
    expect(isEngine(undefined, 'engine-a')).toBe(false);
  });
});

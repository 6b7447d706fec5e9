import { ActiveConfiguration, type SourceFile, digestFiles } from '..';
import { localConfigurationFiles } from '../../local/configuration';

const ADDRESS = { host: '127.0.0.1', port: 7000 };
const TARGET = { availabilityZone: 'zone-a', sidecar: ADDRESS, address: ADDRESS };

function files(number: number): readonly SourceFile[] {
  const engines = [{ ...TARGET, name: 'engine-a' }];
  return localConfigurationFiles({ engines, plain: [{ ...TARGET, name: 'plain-a' }] }, number);
}

function updateTo(number: number, changed: (file: SourceFile) => boolean = () => true) {
  const all = files(number);
  const names = all.map((file) => file.name);
  return { number, digest: digestFiles(all), names, changed: all.filter(changed) };
}

function containsNumber(file: SourceFile): boolean {
  return file.name === 'places.toml';
}

describe('ActiveConfiguration', () => {
  let configuration: ActiveConfiguration;

  beforeEach(() => {
    configuration = new ActiveConfiguration();
    expect(configuration.adopt(updateTo(3))).toBe('adopted');
  });

  it('adopts a newer configuration from the changed files alone', () => {
    expect(configuration.adopt(updateTo(4, containsNumber))).toBe('adopted');
    expect(configuration.current).toMatchObject({ number: 4, digest: updateTo(4).digest });
  });

  it('rejects a lower or equal number', () => {
    expect(configuration.adopt(updateTo(2))).toBe('not-newer');
    expect(configuration.adopt(updateTo(3))).toBe('not-newer');
    expect(configuration.number).toBe(3);
  });

  it('requests all files after a digest mismatch', () => {
    expect(configuration.adopt({ ...updateTo(5, containsNumber), digest: 'another' })).toBe(
      'incomplete',
    );
    expect(configuration).toMatchObject({ number: 3, deltaBaseNumber: 0 });
    expect(configuration.adopt(updateTo(5))).toBe('adopted');
    expect(configuration).toMatchObject({ number: 5, deltaBaseNumber: 5 });
  });

  it('returns `incomplete` when a named file is missing', () => {
    const { names } = updateTo(4);
    const missing = { ...updateTo(4, containsNumber), names: [...names, 'new.toml'] };
    expect(configuration.adopt(missing)).toBe('incomplete');
  });
});

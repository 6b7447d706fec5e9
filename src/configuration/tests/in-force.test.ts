import { ConfigurationInForce, type SourceFile, digestFiles } from '..';
import { localFiles } from '../../local/configuration';

const ADDRESS = { host: '127.0.0.1', port: 7000 };
const TARGET = { availabilityZone: 'zone-a', sidecar: ADDRESS, address: ADDRESS };

function files(number: number): readonly SourceFile[] {
  const engines = [{ ...TARGET, name: 'engine-a' }];
  return localFiles({ engines, plain: [{ ...TARGET, name: 'plain-a' }] }, number);
}

function offer(number: number, changed: (file: SourceFile) => boolean = () => true) {
  const all = files(number);
  const names = all.map((file) => file.name);
  return { number, digest: digestFiles(all), names, changed: all.filter(changed) };
}

function isNumbered(file: SourceFile): boolean {
  return file.name === 'places.toml';
}

describe('the configuration that a process has in force', () => {
  let configuration: ConfigurationInForce;

  beforeEach(() => {
    configuration = new ConfigurationInForce();
    expect(configuration.adopt(offer(3))).toBe('adopted');
  });

  it('moves by the files that changed', () => {
    expect(configuration.adopt(offer(4, isNumbered))).toBe('adopted');
    expect(configuration.current).toMatchObject({ number: 4, digest: offer(4).digest });
  });

  it('never moves down, nor to the same number again', () => {
    expect(configuration.adopt(offer(2))).toBe('not-newer');
    expect(configuration.adopt(offer(3))).toBe('not-newer');
    expect(configuration.number).toBe(3);
  });

  it('asks for everything when the changes do not lead to what they name', () => {
    expect(configuration.adopt({ ...offer(5, isNumbered), digest: 'another' })).toBe('incomplete');
    expect(configuration).toMatchObject({ number: 3, knownNumber: 0 });
    expect(configuration.adopt(offer(5))).toBe('adopted');
    expect(configuration).toMatchObject({ number: 5, knownNumber: 5 });
  });

  it('asks for everything when a file is missing', () => {
    const { names } = offer(4);
    const missing = { ...offer(4, isNumbered), names: [...names, 'new.toml'] };
    expect(configuration.adopt(missing)).toBe('incomplete');
  });
});

import { type SourceFile, digestFiles, parseConfiguration, safeParseConfiguration } from '..';
import { localConfigurationFiles } from '../../local/configuration';

const createTarget = (name: string, port: number) => ({
  name,
  availabilityZone: 'zone-a',
  sidecar: { host: '127.0.0.1', port },
  address: { host: '127.0.0.1', port: port + 1 },
});

const files = localConfigurationFiles({
  engines: [createTarget('engine-a', 7000)],
  plain: [createTarget('plain-a', 7002)],
});

function codesOf(sources: readonly SourceFile[]): readonly string[] {
  const result = safeParseConfiguration(sources);
  return result.err ? result.val.issues.map((issue) => issue.code) : [];
}

describe('parseConfiguration', () => {
  describe('with a valid directory', () => {
    it('merges the files into one configuration', () => {
      const configuration = parseConfiguration(files);
      expect(configuration.number).toBe(1);
      expect(configuration.services.map((service) => service.name)).toEqual([
        'assistant',
        'check-in',
      ]);
    });

    it('computes a digest that is independent of the order of the files', () => {
      expect(digestFiles([...files].reverse())).toBe(digestFiles(files));
      expect(parseConfiguration(files).digest).toBe(digestFiles(files));
    });
  });

  describe('with faults', () => {
    const faulty = [
      {
        name: 'a.toml',
        text: `
number = 1
[[team]]
name = "Counter"
key-digests = ["abc"]
default-program = "none"
[[service]]
name = "chat"
type = "engine"
colour = "red"
`,
      },
      { name: 'b.toml', text: 'number = = 2' },
    ];

    it('reports every issue of every file, with file, key, value found and correction', () => {
      const result = safeParseConfiguration(faulty);
      expect(result.err && result.val.message).toMatchSnapshot();
    });

    it('reports unknown references, repeated names and services without a required key', () => {
      const text = `
number = 1
[[availability-zone]]
name = "zone-a"
region = "north"
[[availability-zone]]
name = "zone-a"
region = "north"
[[team]]
name = "counter"
key-digests = ["${'a'.repeat(64)}"]
default-program = "missing"
[[service]]
name = "chat"
type = "engine"
[[service]]
name = "old"
type = "plain"
adoption = "pass-through"
`;
      const result = safeParseConfiguration([{ name: 'all.toml', text }]);
      expect(result.err && result.val.issues).toMatchSnapshot();
    });

    it('reports a key shared by teams of different files, without its digest', () => {
      const digest = 'b'.repeat(64);
      const teamSection = (name: string) => `[[team]]
name = "${name}"
key-digests = ["${digest}"]
default-program = "none"
`;
      const result = safeParseConfiguration([
        { name: 'a.toml', text: `number = 1\n${teamSection('red')}` },
        { name: 'b.toml', text: teamSection('blue') },
      ]);
      const issues = result.err ? result.val.issues : [];
      const shared = issues.filter(({ code }) => code === 'shared_key');
      expect(shared).toMatchObject([{ path: ['b.toml', 'team', 0, 'key-digests', 0] }]);
      expect(shared[0]?.message).toContain('"red"');
      expect(shared[0]?.message).not.toContain(digest);
    });

    it('rejects a directory with two numbers or none', () => {
      const numbered = { name: 'z.toml', text: 'number = 3' };
      expect(codesOf([...files, numbered])).toEqual(['number_twice']);
      expect(codesOf(files.slice(1))).toContain('number_missing');
    });
  });
});

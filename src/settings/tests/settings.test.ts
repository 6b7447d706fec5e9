import { entrySettingsSchema, safeParseSettings, sidecarSettingsSchema } from '..';

const VALID = `
[host]
name = "entry-1"
availability-zone = "zone-a"
address = "127.0.0.1:8080"

[cluster]
control = [{ name = "control-1", address = "[::1]:7000" }]
process-credential = "sixteen-letters-at-least"
`;

describe('settings', () => {
  it('apply defaults and parse addresses', () => {
    const result = safeParseSettings(entrySettingsSchema, 'entry.toml', VALID);
    expect(result.ok && result.val.entry.policy).toBe('affinity');
    expect(result.ok && result.val.cluster.control[0]?.address).toEqual({
      host: '::1',
      port: 7000,
    });
  });

  it('report every issue, with file, key, value found and correction', () => {
    const faulty = VALID.replace('127.0.0.1:8080', 'localhost:8080')
      .replace('zone-a', 'Zone A')
      .replace('process-credential = "sixteen-letters-at-least"', 'process-credential = "short"');
    const entry = safeParseSettings(
      entrySettingsSchema,
      'entry.toml',
      `${faulty}\n[entry]\npolicy = "best"\nspeed = 9\n`,
    );
    const sidecar = safeParseSettings(sidecarSettingsSchema, 'sidecar.toml', VALID);
    const messages = [entry, sidecar].map((result) => (result.err ? result.val.message : 'valid'));
    expect(messages.join('\n')).toMatchSnapshot();
  });
});

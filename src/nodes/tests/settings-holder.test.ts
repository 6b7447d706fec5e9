import { mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { collectLog } from '../../core/tests/collected-log';
import { ManualClock } from '../../core/tests/manual-clock';
import { loadSettings } from '../../settings/load';
import { nodeSettingsSchema } from '../settings';
import { SettingsHolder } from '../settings-holder';

function textWith(seed: string, level = 'info'): string {
  return `
[node]
name = "g1"
availability-zone = "a"
address = "127.0.0.1:7000"
first-start = true
seeds = ["${seed}"]
tolerated-losses = 1
stop-seconds = 8
log-level = "${level}"
[listen]
[target-list]
address = "127.0.0.1:7001"
calls-per-second = 10
`;
}

describe('settings that are read again', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'settings.toml');
  const clock = new ManualClock();

  afterAll(() => {
    rmSync(folder, { recursive: true });
  });

  function createHolder() {
    writeFileSync(file, textWith('10.0.0.1:1'));
    const settings = loadSettings(nodeSettingsSchema, file);
    const holder = new SettingsHolder({ file, settings, clock });
    const { logger, lines } = collectLog();
    holder.logTo(logger);
    return { holder, lines };
  }

  it('are in force after a reload, and listeners are told', () => {
    const { holder, lines } = createHolder();
    const levels: string[] = [];
    holder.onReload(({ node }) => levels.push(node['log-level']));
    writeFileSync(file, textWith('10.0.0.2:1', 'debug'));
    holder.reload('SIGHUP');
    expect(holder.current.node.seeds).toEqual(['10.0.0.2:1']);
    expect(levels).toEqual(['debug']);
    expect(lines).toMatchObject([{ event: 'settings-reloaded', reason: 'SIGHUP' }]);
  });

  it('are in force within a second of a change that nobody tells', () => {
    const { holder } = createHolder();
    holder.start();
    writeFileSync(file, textWith('10.0.0.3:1'));
    utimesSync(file, 1, 1);
    clock.advance(1000);
    holder.stop();
    expect(holder.current.node.seeds).toEqual(['10.0.0.3:1']);
  });

  it('stay as they were where the file is not valid, and the reason is logged', () => {
    const { holder, lines } = createHolder();
    writeFileSync(file, textWith('no address'));
    holder.reload('SIGHUP');
    expect(holder.current.node.seeds).toEqual(['10.0.0.1:1']);
    expect(lines).toMatchObject([{ event: 'settings-invalid', reason: 'SIGHUP' }]);
    expect(String(lines[0]?.['error'])).toContain('seeds');
  });
});

import { cp, readFile, rm, writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Normalizer } from './normalizer';

/** Digests include the addresses, which differ from run to run. */
const DIGEST = /\b[0-9a-f]{12,64}\b/g;

describe("the operators' command line", () => {
  let system: MultiProcessSystem;
  const session: string[] = [];

  beforeAll(async () => {
    system = await MultiProcessSystem.start({ engines: 1 });
  });

  afterAll(async () => {
    await system.stop();
  });

  async function run(...commandArguments: readonly string[]): Promise<void> {
    const normalizer = new Normalizer();
    const child = system.command(...commandArguments);
    const code = await child.exited;
    await child.closed;
    const output = child.lines.map((line) => {
      const { text } = line;
      return typeof text === 'string' ? text : JSON.stringify(line);
    });
    const folder = dirname(system.layout.configurationDirectory);
    const text = [...output, child.errors].join('\n').trim().replaceAll(`${folder}/`, '');
    const shown = commandArguments.map((word) => word.split('/').at(-1)).join(' ');
    session.push(`$ martenbay ${shown}  (exit ${code})`);
    session.push(normalizer.normalize(text).replaceAll(DIGEST, '<digest>'));
  }

  /** Copies the configuration directory with one text replaced. */
  async function copyWithReplacement(name: string, from: string, to: string): Promise<string> {
    const directory = `${system.layout.configurationDirectory}-${name}`;
    await rm(directory, { recursive: true, force: true });
    await cp(system.layout.configurationDirectory, directory, { recursive: true });
    for (const file of ['places.toml', 'programs.toml']) {
      const path = join(directory, file);
      await writeFile(path, (await readFile(path, 'utf8')).replaceAll(from, to));
    }
    return directory;
  }

  it('applies atomically, rejects a conflicting number and reads back the active configuration', async () => {
    const { configurationDirectory: configuration, operatorSettingsFile: operatorSettings } =
      system.layout;
    const settings = ['--settings', operatorSettings];
    const second = await copyWithReplacement('second', 'number = 1', 'number = 2');
    const conflicting = await copyWithReplacement('loser', 'number = 1', 'number = 2 # another');
    const faulty = await copyWithReplacement('faulty', 'idle-seconds', 'idle-secs');
    await run('validate', configuration);
    await run('validate', faulty);
    await run('diff', configuration, ...settings);
    await run('apply', second, ...settings, '--wait');
    await run('apply', second, ...settings);
    await run('apply', conflicting, ...settings);
    await run('apply', configuration, ...settings);
    await run('get', 'services', ...settings);
    await run('get', 'budgets', ...settings, '--output', 'json');
    await run('get', 'colours', ...settings);
    await run('status');
    expect(session.join('\n')).toMatchSnapshot();
  });
});

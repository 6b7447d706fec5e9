import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { type ProcessPlan, createLayout } from '../scripts/separate/layout';
import { SystemProcess } from '../scripts/separate/system-process';
import { findFreeAddresses } from '../src/local';
import { HeldFile } from './held-file';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const PROGRAMS = ['control', 'entry', 'sidecar', 'local'] as const;

/** Tells that a program serves; `martenbay-local` says so in plain text. */
const SERVES = /started|Serving at/;

// Guards against programs that are ended by a signal while they start.
describe.each(PROGRAMS)('martenbay-%s, which reads its settings', (program) => {
  let folder: string;
  let settingsFile: string;
  let settingsText: string;
  let settings: HeldFile;
  let process: SystemProcess;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'martenbay-program-'));
    const plan = program === 'local' ? await planLocal(folder) : await planOf(folder, program);
    settingsFile = plan.arguments.at(-1) ?? '';
    settingsText = await readFile(settingsFile, 'utf8');
    await rm(settingsFile);
    settings = new HeldFile(settingsFile);
    process = new SystemProcess(program, resolve('dist', `${plan.binary}.cjs`), plan.arguments);
    await settings.whenRead();
  });

  afterEach(async () => {
    await settings.dispose();
    process.signal('SIGKILL');
    await process.closed;
    await rm(folder, { recursive: true, force: true });
  });

  const release = () => settings.release(settingsText, () => writeFile(settingsFile, settingsText));

  it('starts although it is told that its settings have changed', async () => {
    process.signal('SIGHUP');
    await release();
    await process.waitForLog((line) => SERVES.test(JSON.stringify(line)));
    process.signal('SIGHUP');
    process.signal('SIGTERM');
    expect(await process.exited).toBe(0);
  });

  it.each(STOP_SIGNALS)('stops in order on %s', async (signal) => {
    process.signal(signal);
    await release();
    expect(await process.exited).toBe(0);
  });
});

async function planOf(
  folder: string,
  program: Exclude<(typeof PROGRAMS)[number], 'local'>,
): Promise<ProcessPlan> {
  const { controls, entries, sidecars } = await createLayout({ folder });
  const [plan] = { control: controls, entry: entries, sidecar: sidecars }[program];
  if (plan === undefined) throw new Error(`the layout has no ${program}`);
  return plan;
}

async function planLocal(folder: string): Promise<ProcessPlan> {
  const [address] = await findFreeAddresses(['127.0.0.1']);
  const file = join(folder, 'local.toml');
  await writeFile(file, `[local]\nport = ${address?.port ?? 0}\n`);
  const name = 'martenbay-local';
  return { name, binary: name, arguments: ['run', '--settings', file] };
}

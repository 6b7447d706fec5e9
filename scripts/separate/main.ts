// Starts a system as separate processes, runs a session over it, and stops it.
// With --keep it serves until SIGINT or SIGTERM. See README.md.
import { LOCAL_KEY, runSession } from '../../src/local';
import { MultiProcessSystem } from './system';

async function main(): Promise<void> {
  const system = await MultiProcessSystem.start();
  await runSession({
    entries: system.entryUrls,
    key: LOCAL_KEY,
    write: (line) => process.stdout.write(`${line}\n`),
  });
  if (process.argv.includes('--keep')) {
    const { entryUrls, layout } = system;
    process.stdout.write(
      `serving at ${entryUrls.join(' and ')}, key ${LOCAL_KEY}; operators' settings: ${layout.operatorSettingsFile}\n`,
    );
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
  }
  process.stdout.write(`${JSON.stringify(await system.stop())}\n`);
}

void main();

import { request } from 'undici';
import { INSTANT_ENGINE, LOCAL_KEY, runSession } from '../src/local';
import type { LogLine } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Normalizer } from './normalizer';

/** Loads are read so seldom that none is read while a call runs. */
const LOADS_NEVER_READ = { 'load-milliseconds': 3_600_000 };

function withoutTime(line: LogLine): string {
  return JSON.stringify({ ...line, time: undefined });
}

async function readHealth(url: string): Promise<readonly number[]> {
  const pages = ['/healthz', '/readyz', '/metrics'];
  const answers = await Promise.all(pages.map((page) => request(`${url}${page}`)));
  await Promise.all(answers.map((answer) => answer.body.dump()));
  return answers.map((answer) => answer.statusCode);
}

describe('a session over separate processes', () => {
  it('is the same on every run, each call at another entry than the one before', async () => {
    const system = await MultiProcessSystem.start({
      engineSettings: INSTANT_ENGINE,
      sidecarSettings: LOADS_NEVER_READ,
    });
    const normalizer = new Normalizer();
    const session: string[] = [];
    await runSession({
      entries: system.entryUrls,
      key: LOCAL_KEY,
      write: (line) => {
        session.push(normalizer.normalize(line));
      },
    });
    const pages = await Promise.all(system.ownUrls.map(readHealth));
    const exitCodes = await system.stop();
    const decisions = system.children
      .filter((child) => child.name.startsWith('entry'))
      .flatMap((child) => child.lines.filter((line) => line['event'] === 'decision'))
      .map((line) => normalizer.normalize(withoutTime(line)));

    expect(new Set(pages.flat())).toEqual(new Set([200]));
    expect(session.join('\n')).toMatchSnapshot('what the caller saw');
    expect(decisions.join('\n')).toMatchSnapshot('decisions of the entries');
    expect(exitCodes).toMatchSnapshot('exit codes after SIGTERM');
  });
});

import { request } from 'undici';
import { INSTANT_ENGINE, LOCAL_KEY, runSession } from '../src/local';
import type { LogLine } from '../scripts/separate/system-process';
import { MultiProcessSystem } from '../scripts/separate/system';
import { Normalizer } from './normalizer';

/** The interval is longer than the test, so that no load is read during a call. */
const LOAD_POLLING_DISABLED = { 'load-milliseconds': 3_600_000 };

function withoutTime(line: LogLine): string {
  return JSON.stringify({ ...line, time: undefined });
}

async function readHealthStatuses(url: string): Promise<readonly number[]> {
  const pages = ['/healthz', '/readyz', '/metrics'];
  const responses = await Promise.all(pages.map((page) => request(`${url}${page}`)));
  await Promise.all(responses.map((response) => response.body.dump()));
  return responses.map((response) => response.statusCode);
}

describe('a session over separate processes', () => {
  it('is the same on every run when consecutive calls use different entries', async () => {
    const system = await MultiProcessSystem.start({
      engineSettings: INSTANT_ENGINE,
      sidecarSettings: LOAD_POLLING_DISABLED,
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
    const statuses = await Promise.all(system.ownUrls.map(readHealthStatuses));
    const exitCodes = await system.stop();
    const decisions = system.children
      .filter((child) => child.name.startsWith('entry'))
      .flatMap((child) => child.lines.filter((line) => line['event'] === 'decision'))
      .map((line) => normalizer.normalize(withoutTime(line)));

    expect(new Set(statuses.flat())).toEqual(new Set([200]));
    expect(session.join('\n')).toMatchSnapshot('responses to the caller');
    expect(decisions.join('\n')).toMatchSnapshot('decisions of the entries');
    expect(exitCodes).toMatchSnapshot('exit codes after SIGTERM');
  });
});

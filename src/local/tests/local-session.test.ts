import { SeededRandom, SystemClock, createSilentLogger } from '../../core';
import { INSTANT_ENGINE, LOCAL_KEY, runSession, startLocalSystem } from '..';
import { Normalizer } from '../../../tests/normalizer';

describe('a session with the local system', () => {
  it('is the same on every run', async () => {
    const normalizer = new Normalizer();
    const lines: string[] = [];
    const system = await startLocalSystem({
      clock: new SystemClock(),
      random: new SeededRandom(7),
      loggerFor: () => createSilentLogger(),
      engineSettings: INSTANT_ENGINE,
    });
    await runSession({
      entries: [system.entryUrl],
      key: LOCAL_KEY,
      write: (line) => {
        lines.push(normalizer.normalize(line));
      },
    });
    await system.lifeCycle.stop();
    expect(lines.join('\n')).toMatchSnapshot();
  });
});

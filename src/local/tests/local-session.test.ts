import { LOCAL_KEY, runSession } from '..';
import { Normalizer } from '../../../tests/normalizer';
import { startTestSystem } from '../../../tests/local-system';

describe('runSession with the local system', () => {
  // Guards against turns that leave their engine, and other outcomes that depend on timing.
  it('writes the same text on every run', async () => {
    const normalizer = new Normalizer();
    const lines: string[] = [];
    const system = await startTestSystem(7);
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

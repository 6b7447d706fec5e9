import { type Logger, Metrics } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { PauseWatch } from '../pause-watch';

const STEP_MILLISECONDS = 250;

describe('a process that did not run for a while', () => {
  const clock = new ManualClock();
  const warn = jest.fn();
  const watch = new PauseWatch({
    clock,
    logger: { warn } as unknown as Logger,
    metrics: new Metrics(),
  });

  /** Lets the process run for a while; a look ends before the next one is due. */
  const run = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      clock.advance(STEP_MILLISECONDS);
      await new Promise(setImmediate);
    }
  };

  beforeAll(() => {
    watch.start();
  });

  it('says nothing while it runs', async () => {
    await run(5000);
    expect(warn).not.toHaveBeenCalled();
  });

  it('says for how long it did not', async () => {
    clock.jump(6500);
    await new Promise(setImmediate);
    expect(warn.mock.calls).toEqual([[{ event: 'process-paused', milliseconds: 6000 }]]);
  });

  it('says it once', async () => {
    await run(5000);
    expect(warn).toHaveBeenCalledTimes(1);
  });
});

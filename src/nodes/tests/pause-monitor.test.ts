import { type Logger, Metrics } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { PauseMonitor } from '../pause-monitor';

const STEP_MILLISECONDS = 250;

describe('PauseMonitor', () => {
  const clock = new ManualClock();
  const warn = jest.fn();
  const monitor = new PauseMonitor({
    clock,
    logger: { warn } as unknown as Logger,
    metrics: new Metrics(),
  });

  /** Advances the clock without a pause: each check completes before the next one is due. */
  const advance = async (milliseconds: number) => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      clock.advance(STEP_MILLISECONDS);
      await new Promise(setImmediate);
    }
  };

  beforeAll(() => {
    monitor.start();
  });

  it('logs nothing while the process runs', async () => {
    await advance(5000);
    expect(warn).not.toHaveBeenCalled();
  });

  it('logs the duration of a pause', async () => {
    clock.jump(6500);
    await new Promise(setImmediate);
    expect(warn.mock.calls).toEqual([[{ event: 'process-paused', milliseconds: 6000 }]]);
  });

  it('logs a pause only once', async () => {
    await advance(5000);
    expect(warn).toHaveBeenCalledTimes(1);
  });
});

import { RateLimitedLogLine } from '..';
import { collectLog } from './collected-log';
import { ManualClock } from './manual-clock';

function writeEvery(milliseconds: number, times: number) {
  const { logger, lines } = collectLog();
  const clock = new ManualClock();
  const line = new RateLimitedLogLine({ event: 'e', intervalMilliseconds: 1000, clock, logger });
  for (let time = 0; time < times; time += 1) {
    line.write({ time });
    clock.advance(milliseconds);
  }
  return lines;
}

describe('RateLimitedLogLine', () => {
  it('writes the first line at once, then one per interval with the number of suppressed lines', () => {
    const lines = writeEvery(20, 191);
    expect(lines.map(({ time, leftOut }) => [time, leftOut])).toEqual([
      [0, 0],
      [50, 49],
      [100, 49],
      [150, 49],
    ]);
  });

  it('writes every line when they are further apart than the interval', () => {
    expect(writeEvery(1500, 3).map(({ leftOut }) => leftOut)).toEqual([0, 0, 0]);
  });
});

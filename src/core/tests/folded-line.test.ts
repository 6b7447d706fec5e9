import { FoldedLine } from '..';
import { collectLog } from './collected-log';
import { ManualClock } from './manual-clock';

function noteEvery(milliseconds: number, times: number) {
  const { logger, lines } = collectLog();
  const clock = new ManualClock();
  const line = new FoldedLine({ event: 'e', milliseconds: 1000, clock, logger });
  for (let time = 0; time < times; time += 1) {
    line.note({ time });
    clock.advance(milliseconds);
  }
  return lines;
}

describe('a line that is folded', () => {
  it('is written at once, and then once a second with the number of those left out', () => {
    const lines = noteEvery(20, 191);
    expect(lines.map(({ time, leftOut }) => [time, leftOut])).toEqual([
      [0, 0],
      [50, 49],
      [100, 49],
      [150, 49],
    ]);
  });

  it('is written each time where it is rare', () => {
    expect(noteEvery(1500, 3).map(({ leftOut }) => leftOut)).toEqual([0, 0, 0]);
  });
});

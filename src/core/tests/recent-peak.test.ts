import * as fc from 'fast-check';
import { RecentPeak } from '..';
import { ManualClock } from './manual-clock';

const WINDOW_MILLISECONDS = 100;

describe('RecentPeak', () => {
  // Guards against a level within the window that is forgotten, and one that is kept for too long.
  it('is the peak of at least one window, and of less than two', () => {
    const changes = fc.array(
      fc.record({
        elapsed: fc.integer({ min: 0, max: 250 }),
        level: fc.integer({ min: 0, max: 9 }),
      }),
    );
    fc.assert(
      fc.property(changes, fc.integer({ min: 0, max: 250 }), (steps, rest) => {
        const clock = new ManualClock();
        const peak = new RecentPeak({ clock, windowMilliseconds: WINDOW_MILLISECONDS });
        const levels = [{ from: 0, level: 0 }];
        for (const { elapsed, level } of steps) {
          clock.advance(elapsed);
          peak.record(level);
          levels.push({ from: clock.monotonic(), level });
        }
        clock.advance(rest);
        const now = clock.monotonic();
        const peakWithin = (window: number) =>
          Math.max(
            ...levels
              .filter((_, index) => (levels[index + 1]?.from ?? Infinity) >= now - window)
              .map(({ level }) => level),
          );
        expect(peak.value).toBeGreaterThanOrEqual(
          Math.max(levels.at(-1)?.level ?? 0, peakWithin(WINDOW_MILLISECONDS - 1)),
        );
        expect(peak.value).toBeLessThanOrEqual(peakWithin(WINDOW_MILLISECONDS * 2));
      }),
      { seed: 42 },
    );
  });
});

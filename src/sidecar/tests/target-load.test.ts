import { ManualClock } from '../../core/tests/manual-clock';
import { TargetLoad } from '../target-load';

const REPORT_MILLISECONDS = 1000;

describe('TargetLoad', () => {
  let clock: ManualClock;
  let load: TargetLoad;

  beforeEach(() => {
    clock = new ManualClock();
    load = new TargetLoad({ clock, reportMilliseconds: REPORT_MILLISECONDS });
  });

  // Guards against calls that count until the next report after they have ended.
  it('falls as soon as a forwarded call ends, even if the last report counts it', () => {
    load.recordForwarded(2);
    load.recordReport({ running: 2, waiting: 0 });
    load.recordForwarded(1);
    expect(load.current).toEqual({ running: 1, waiting: 0 });
    load.recordForwarded(0);
    expect(load.current).toEqual({ running: 0, waiting: 0 });
  });

  it('ignores a lagging report of calls that have ended', () => {
    load.recordForwarded(3);
    load.recordForwarded(0);
    load.recordReport({ running: 3, waiting: 0 });
    expect(load.current).toEqual({ running: 0, waiting: 0 });
  });

  it('counts the calls that other callers send to the target, and those that wait there', () => {
    load.recordForwarded(1);
    load.recordReport({ running: 4, waiting: 2 });
    expect(load.current).toEqual({ running: 4, waiting: 2 });
    load.recordForwarded(2);
    expect(load.current).toEqual({ running: 5, waiting: 2 });
    load.recordReport(undefined);
    expect(load.current).toEqual({ running: 2, waiting: 0 });
  });
});

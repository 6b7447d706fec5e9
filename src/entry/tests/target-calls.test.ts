import { ManualClock } from '../../core/tests/manual-clock';
import { TargetCalls } from '../target-calls';

function running(calls: number) {
  return { running: calls, waiting: 0 };
}

describe('TargetCalls', () => {
  let clock: ManualClock;
  let calls: TargetCalls;

  beforeEach(() => {
    clock = new ManualClock();
    clock.advance(10_000);
    calls = new TargetCalls(clock);
  });

  describe("the leader's report", () => {
    // Guards against own calls that count twice, or that count on after their end.
    it('leaves the calls of others when own calls in it have ended before it arrives', () => {
      calls.recordStart();
      calls.recordStart();
      calls.recordEnd();
      calls.recordEnd();
      calls.recordReport({ running: 4, waiting: 1 });
      expect(calls.others()).toBe(3);
      expect(calls.own).toBe(0);
    });

    it('counts in full once own calls ended long before', () => {
      calls.recordStart();
      calls.recordEnd();
      clock.advance(2000);
      calls.recordReport(running(1));
      expect(calls.others()).toBe(1);
    });
  });

  describe('the load that comes with a response', () => {
    // Guards against a load observed during a burst that lasts until the next call: an idle target
    // is then avoided and gets no next call.
    it("yields to the leader's report when it is old", () => {
      calls.recordReport(running(0));
      calls.recordStart();
      calls.recordObservation(running(5));
      calls.recordEnd();
      expect(calls.others()).toBe(4);
      clock.advance(1000);
      expect(calls.others()).toBe(0);
    });
  });

  describe("the program's last turn through another entry", () => {
    it('is taken out of a report from before its end only', () => {
      calls.recordReport(running(2));
      clock.advance(50);
      const endedAt = clock.now();
      clock.advance(50);
      expect(calls.others(endedAt)).toBe(1);
      calls.recordReport(running(2));
      expect(calls.others(endedAt)).toBe(2);
    });

    // Guards against a turn that counts on while a suspended leader renews no report.
    it('is taken out until its sidecar would have reported again or been lost', () => {
      calls.recordReport(running(1));
      const endedAt = clock.now();
      clock.advance(2999);
      expect(calls.others(endedAt)).toBe(0);
      clock.advance(1);
      expect(calls.others(endedAt)).toBe(1);
    });

    // Guards against a report that a suspended entry reads after the end of the turn in it.
    it('is taken out of a report that arrives after its end', () => {
      const reportedAt = clock.now();
      clock.advance(50);
      const endedAt = clock.now();
      clock.advance(500);
      calls.recordReport(running(1), reportedAt);
      expect(calls.others(endedAt)).toBe(0);
    });

    it('changes nothing if its end is unknown or nothing is reported', () => {
      expect(calls.others(clock.now())).toBe(0);
      calls.recordReport(running(1));
      expect(calls.others()).toBe(1);
    });
  });
});

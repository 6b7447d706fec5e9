import { EngineDemandTracker } from '..';
import { ENGINE_SLOTS, GatewayGroup } from './gateway-group';

describe('EngineDemandTracker', () => {
  it('counts requests by team and priority until they end', () => {
    const tracker = new EngineDemandTracker();
    const end = tracker.begin('red', 3);
    tracker.begin('red', 3);
    tracker.begin('red', 4);
    tracker.begin('blue', 3);
    end();
    expect(tracker.entries()).toEqual([
      ['red', 3, 1],
      ['red', 4, 1],
      ['blue', 3, 1],
    ]);
  });

  it('has no entry for a team without requests, and counts an end once', () => {
    const tracker = new EngineDemandTracker();
    const end = tracker.begin('red', 3);
    end();
    end();
    expect(tracker.entries()).toEqual([]);
  });
});

describe('DemandExchange', () => {
  /** Interval of four gateways. */
  const INTERVAL = 208;
  let group: GatewayGroup;

  beforeEach(() => {
    group = new GatewayGroup(['a', 'b', 'c', 'd']);
    group.begin('a', 'red', 3, 1);
    group.begin('b', 'red', 3, 2);
    group.begin('d', 'red', 4, 4);
  });

  afterEach(() => {
    group.stop();
  });

  const TOTALS = [
    ['red', 3, 3],
    ['red', 4, 4],
  ];

  describe('while the engines are contended', () => {
    it('sends the totals to every gateway within two intervals, also to one without demand', () => {
      group.clock.advance(2 * INTERVAL + 1);
      for (const name of ['a', 'b', 'c', 'd']) expect(group.totalsAt(name)).toEqual(TOTALS);
    });

    it('states the age of the totals', () => {
      group.clock.advance(2 * INTERVAL);
      const age = group.ageAt('d');
      group.clock.advance(20);
      expect(group.ageAt('d')).toBe((age ?? 0) + 20);
    });

    it('sends unchanged reports and totals every 600 ms only', () => {
      group.clock.advance(1000);
      group.messages.length = 0;
      group.clock.advance(10 * 4 * INTERVAL);
      // Of every four intervals, each report and each of the three totals is sent in one or two.
      expect(group.demandMessages().length).toBeLessThanOrEqual(20 * 5);
      expect(group.demandMessages().length).toBeGreaterThanOrEqual(10 * 5);
      expect(group.totalsAt('d')).toEqual(TOTALS);
    });

    it('sends at most one report and one total per interval and gateway when demand changes', () => {
      group.clock.advance(1000);
      group.messages.length = 0;
      for (let elapsed = 0; elapsed < 30 * INTERVAL; elapsed += 13) {
        group.begin('b', 'red', 3, 1);
        group.clock.advance(13);
      }
      expect(group.demandMessages().length).toBeLessThanOrEqual(31 * 5);
    });
  });

  describe('while the engines are less than 70% busy, or without teams', () => {
    it('sends nothing and knows no totals', () => {
      group.requestsAtEngines = 0.69 * ENGINE_SLOTS;
      group.clock.advance(2000);
      expect(group.demandMessages()).toEqual([]);
      expect(group.totalsAt('a')).toBeUndefined();
    });

    it('sends nothing without teams', () => {
      group.hasTeams = false;
      group.clock.advance(2000);
      expect(group.demandMessages()).toEqual([]);
      expect(group.totalsAt('b')).toBeUndefined();
    });

    it('ends the demand with one empty report of each gateway', () => {
      group.clock.advance(1000);
      group.requestsAtEngines = 0;
      group.messages.length = 0;
      group.clock.advance(4000);
      const reports = group
        .demandMessages()
        .filter((message) => message.startsWith('targets.demand '));
      expect(reports.sort()).toEqual(['targets.demand b>a', 'targets.demand d>a']);
      expect(group.demandMessages().length).toBeLessThanOrEqual(2 + 2 * 3);
      expect(group.totalsAt('d')).toBeUndefined();
    });

    it('forgets the totals within an interval after the load has dropped', () => {
      group.clock.advance(1000);
      group.requestsAtEngines = 0;
      group.clock.advance(INTERVAL);
      expect(group.totalsAt('c')).toBeUndefined();
    });
  });

  describe('when a process or link fails', () => {
    beforeEach(() => {
      group.clock.advance(1000);
    });

    it.each(['is dead', 'is frozen or partitioned'])(
      'expires the totals after 1500 ms and takes those of the next coordinator if the first %s',
      (failure) => {
        if (failure === 'is dead') group.kill('a');
        else group.cutOff.add('a');
        group.clock.advance(1600);
        expect(group.totalsAt('d')).toEqual([
          ['red', 3, 2],
          ['red', 4, 4],
        ]);
      },
    );

    it('knows no totals after 1500 ms if no coordinator can be reached', () => {
      for (const name of ['a', 'b', 'c']) group.cutOff.add(name);
      group.clock.advance(1500);
      expect(group.totalsAt('d')).toBeUndefined();
    });

    it('rebuilds the totals within two intervals after a restart of the coordinator', () => {
      // Just after the reports were sent, so that they are due again only in 600 ms.
      group.clock.advance(480);
      group.kill('a');
      group.clock.advance(100);
      group.restart('a');
      group.clock.advance(2 * INTERVAL + 1);
      expect(group.totalsAt('c')).toEqual([
        ['red', 3, 2],
        ['red', 4, 4],
      ]);
    });

    it('expires the part of a gateway that is cut off', () => {
      group.cutOff.add('d');
      group.clock.advance(1500 + 2 * INTERVAL);
      expect(group.totalsAt('b')).toEqual([['red', 3, 3]]);
    });

    it('takes the totals of the first coordinator again after it has returned', () => {
      group.cutOff.add('a');
      group.clock.advance(1600);
      group.cutOff.delete('a');
      group.clock.advance(3000);
      for (const name of ['a', 'b', 'c', 'd']) expect(group.totalsAt(name)).toEqual(TOTALS);
    });

    it('ignores totals of a coordinator that it has not selected', () => {
      group.cutOff.add('a');
      group.clock.advance(1000);
      const before = group.totalsAt('d');
      group.deliverTotal('d', 'c', [['blue', 0, 99]]);
      expect(group.totalsAt('d')).toEqual(before);
    });
  });
});

import { SeededRandom } from '../../core';
import { refuseInOverload } from '..';

const RANDOM = new SeededRandom(1);
const OVERLOADED = { service: 's', load: 75, slots: 60, startsProgram: true };

describe('refuseInOverload at 1.25 requests per slot', () => {
  it('refuses a new program with 503 and states that it was not run', () => {
    const refusal = refuseInOverload(OVERLOADED, RANDOM);
    expect(refusal).toMatchObject({ status: 503, code: 'overloaded' });
    expect(refusal?.message).toContain('was not run');
  });

  it('spreads Retry-After over 0.1 to 0.3 s', () => {
    const retryAfterSeconds = Array.from(
      { length: 50 },
      () => refuseInOverload(OVERLOADED, RANDOM)?.retryAfterSeconds ?? 0,
    );
    expect(Math.min(...retryAfterSeconds)).toBeGreaterThanOrEqual(0.1);
    expect(Math.max(...retryAfterSeconds)).toBeLessThanOrEqual(0.3);
    expect(new Set(retryAfterSeconds).size).toBeGreaterThan(40);
  });

  it('admits further turns of a running program', () => {
    expect(refuseInOverload({ ...OVERLOADED, startsProgram: false }, RANDOM)).toBeUndefined();
  });
});

describe('refuseInOverload below the limit', () => {
  it('admits a new program', () => {
    expect(refuseInOverload({ ...OVERLOADED, load: 74 }, RANDOM)).toBeUndefined();
  });

  it('admits a new program when no engine is reachable', () => {
    expect(refuseInOverload({ ...OVERLOADED, load: 0, slots: 0 }, RANDOM)).toBeUndefined();
  });
});

describe('refuseInOverload with fair shares', () => {
  const WITHIN_SHARE = { team: 't', requests: 5, share: 5, isOverShare: false };
  const OVER_SHARE = { team: 't', requests: 45, share: 30, isOverShare: true };
  const FAIR_SHARE = { teamShare: WITHIN_SHARE, ahead: 74, averageMilliseconds: 800 };
  const FLOODED = { ...OVERLOADED, load: 179, fairShare: FAIR_SHARE };

  describe('of a team within its share', () => {
    it('admits a new program until as many requests as 1.25 per slot come before it', () => {
      expect(refuseInOverload(FLOODED, RANDOM)).toBeUndefined();
      const fairShare = { ...FAIR_SHARE, ahead: 75 };
      expect(refuseInOverload({ ...FLOODED, fairShare }, RANDOM)?.code).toBe('overloaded');
    });

    it('refuses a new program from 3 requests per slot of any priority', () => {
      expect(refuseInOverload({ ...FLOODED, load: 180 }, RANDOM)?.code).toBe('overloaded');
    });

    it('treats a team without known requests alike', () => {
      const fairShare = { ...FAIR_SHARE, teamShare: undefined };
      expect(refuseInOverload({ ...FLOODED, fairShare }, RANDOM)).toBeUndefined();
    });
  });

  describe('of a team over its share', () => {
    const fairShare = { ...FAIR_SHARE, teamShare: OVER_SHARE, ahead: 0 };
    const INPUT = { ...OVERLOADED, load: 60, fairShare };

    it('refuses a new program from 1 request per slot and admits it below', () => {
      expect(refuseInOverload(INPUT, RANDOM)).toMatchObject({
        ...{ status: 503, code: 'team_over_share' },
        message: expect.stringContaining('was not run') as string,
      });
      expect(refuseInOverload({ ...INPUT, load: 59 }, RANDOM)).toBeUndefined();
    });

    it('never refuses a further turn of a running program', () => {
      const input = { ...INPUT, load: 600, startsProgram: false };
      expect(refuseInOverload(input, RANDOM)).toBeUndefined();
    });

    it.each([
      ['the time in which its excess drains', 45, 0.4, 0.6],
      ['at least 0.3 s', 31, 0.3, 0.45],
      ['at most 1 s', 600, 1, 1],
    ])('announces %s, with jitter', (_, requests, shortest, longest) => {
      const teamShare = { ...OVER_SHARE, requests };
      const input = { ...INPUT, fairShare: { ...fairShare, teamShare } };
      const seconds = refuseInOverload(input, RANDOM)?.retryAfterSeconds;
      expect(seconds).toBeGreaterThanOrEqual(shortest);
      expect(seconds).toBeLessThanOrEqual(longest);
    });
  });
});

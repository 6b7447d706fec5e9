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

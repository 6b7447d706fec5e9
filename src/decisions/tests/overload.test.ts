import { SeededRandom } from '../../core';
import { refuseInOverload } from '..';

const RANDOM = new SeededRandom(1);
const FULL = { service: 's', load: 75, slots: 60, startsProgram: true };

describe('engines with five requests for four places', () => {
  it('begin no program, and the caller is told when to come back', () => {
    const refusal = refuseInOverload(FULL, RANDOM);
    expect(refusal).toMatchObject({ status: 503, code: 'overloaded' });
    expect(refusal?.message).toContain('was not run');
  });

  it('ask callers back at different moments, 0.1 to 0.3 s later', () => {
    const pauses = Array.from(
      { length: 50 },
      () => refuseInOverload(FULL, RANDOM)?.retryAfterSeconds ?? 0,
    );
    expect(Math.min(...pauses)).toBeGreaterThanOrEqual(0.1);
    expect(Math.max(...pauses)).toBeLessThanOrEqual(0.3);
    expect(new Set(pauses).size).toBeGreaterThan(40);
  });

  it('go on with programs under way', () => {
    expect(refuseInOverload({ ...FULL, startsProgram: false }, RANDOM)).toBeUndefined();
  });
});

describe('engines with fewer requests', () => {
  it('begin every program', () => {
    expect(refuseInOverload({ ...FULL, load: 74 }, RANDOM)).toBeUndefined();
  });

  it('are still tried where none seems to be within reach', () => {
    expect(refuseInOverload({ ...FULL, load: 0, slots: 0 }, RANDOM)).toBeUndefined();
  });
});

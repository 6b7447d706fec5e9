import { UsualDurations } from '..';

describe('the usual duration of a service', () => {
  it('follows what its requests take, and no other service', () => {
    const durations = new UsualDurations();
    for (let request = 0; request < 100; request += 1) durations.note('slow', 1500);
    expect(durations.of('slow')).toBeGreaterThan(1450);
    expect(durations.of('other')).toBe(600);
  });
});

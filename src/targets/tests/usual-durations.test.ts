import { UsualDurations } from '..';

describe('average duration of a service', () => {
  it('follows its own requests and not those of another service', () => {
    const averages = new UsualDurations();
    for (let request = 0; request < 100; request += 1) averages.note('slow', 1500);
    expect(averages.of('slow')).toBeGreaterThan(1450);
    expect(averages.of('other')).toBe(600);
  });
});

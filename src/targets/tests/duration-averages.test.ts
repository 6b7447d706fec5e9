import { DurationAverages } from '..';

describe('average duration of a service', () => {
  it('follows its own requests and not those of another service', () => {
    const averages = new DurationAverages();
    for (let request = 0; request < 100; request += 1) averages.record('slow', 1500);
    expect(averages.averageOf('slow')).toBeGreaterThan(1450);
    expect(averages.averageOf('other')).toBe(600);
  });
});

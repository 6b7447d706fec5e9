import { compareIncarnations, holdsTurn, selectTargets } from '../incarnation';
import type { ListedTarget } from '../target';

function listed(overrides: Partial<ListedTarget>): ListedTarget {
  const shared = { id: 't', service: 's', availabilityZone: 'a', slots: 6, draining: false };
  return { ...shared, address: '10.0.0.1:80', ...overrides };
}

describe('incarnations of a target', () => {
  describe('compareIncarnations', () => {
    it('orders two known starts', () => {
      const known = { bornAt: 5000, listedAt: 0 };
      expect(compareIncarnations(known, 5001)).toBe('newer');
      expect(compareIncarnations(known, 5000)).toBe('same');
      expect(compareIncarnations(known, 4999)).toBe('older');
    });

    it('learns nothing from an entry without a start', () => {
      expect(compareIncarnations({ bornAt: 5000, listedAt: 0 }, undefined)).toBe('same');
    });

    // Otherwise all state would be dropped when the list begins to state the starts of servers.
    it('takes a first known start for a restart only if the target was listed before it', () => {
      const known = { bornAt: undefined, listedAt: 10_000 };
      expect(compareIncarnations(known, 4000)).toBe('same');
      expect(compareIncarnations(known, 10_900)).toBe('same');
      expect(compareIncarnations(known, 11_001)).toBe('newer');
    });
  });

  describe('selectTargets', () => {
    it('selects the entry of the latest start, else the first one', () => {
      const first = listed({ bornAt: 1000 });
      const newer = listed({ bornAt: 2000, address: '10.0.0.2:80' });
      const unknown = listed({ address: '10.0.0.3:80' });
      expect(selectTargets([first, newer])).toEqual([newer]);
      expect(selectTargets([newer, first])).toEqual([newer]);
      expect(selectTargets([unknown, newer])).toEqual([unknown]);
      expect(selectTargets([first, unknown])).toEqual([first]);
      expect(selectTargets([first, { ...newer, bornAt: 1000 }])).toEqual([first]);
    });
  });

  describe('holdsTurn', () => {
    it('is false for a turn that may have ended before the start, within the clock skew', () => {
      expect(holdsTurn({ bornAt: 5000 }, 5900)).toBe(false);
      expect(holdsTurn({ bornAt: 5000 }, 6001)).toBe(true);
      expect(holdsTurn({}, 0)).toBe(true);
    });
  });
});

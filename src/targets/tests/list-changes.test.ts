import fc from 'fast-check';
import { applyChanges, changesBetween, sortTargets } from '../list-changes';
import type { ListedTarget } from '../target';

const listed: fc.Arbitrary<ListedTarget> = fc.record({
  id: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
  service: fc.constant('s'),
  address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80'),
  availabilityZone: fc.constantFrom('z1', 'z2'),
  slots: fc.constantFrom(6, 7),
  draining: fc.boolean(),
  bornAt: fc.option(fc.integer({ min: 1, max: 3 }), { nil: undefined }),
});

const lists = fc.uniqueArray(listed, { selector: ({ id }) => id }).map(sortTargets);

describe('changesBetween', () => {
  it('yields changes that turn any list into any other', () => {
    fc.assert(
      fc.property(lists, lists, (earlier, later) => {
        expect(applyChanges(earlier, changesBetween(earlier, later))).toEqual(later);
      }),
    );
  });

  it('yields no changes between equal lists', () => {
    fc.assert(
      fc.property(lists, (list) => {
        expect(changesBetween(list, list)).toEqual({ gone: [], changed: [] });
      }),
    );
  });
});

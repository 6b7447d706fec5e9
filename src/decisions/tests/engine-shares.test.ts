import * as fc from 'fast-check';
import { type TeamDemand, computeEngineShares, countRequestsAhead } from '..';

/** Part of the slots that is shared. */
const SHARED = 0.8;

const DEMANDS = fc.uniqueArray(
  fc.record({
    team: fc.string({ maxLength: 3 }),
    requests: fc.nat(300),
    weight: fc.oneof(fc.constant(0), fc.double({ min: 0.1, max: 100, noNaN: true })),
  }),
  { selector: ({ team }) => team, maxLength: 12 },
);

const INPUTS = fc.record({ demands: DEMANDS, slots: fc.nat(400) });

function sumOf(numbers: Iterable<number>): number {
  return [...numbers].reduce((sum, number) => sum + number, 0);
}

function overShare(demands: readonly TeamDemand[], slots: number): readonly string[] {
  return [...computeEngineShares({ demands, slots }).values()]
    .filter(({ isOverShare }) => isOverShare)
    .map(({ team }) => team);
}

describe('computeEngineShares', () => {
  describe('for any demands', () => {
    it('distributes all shared slots, or as many as are requested', () => {
      fc.assert(
        fc.property(INPUTS, ({ demands, slots }) => {
          const shares = [...computeEngineShares({ demands, slots }).values()];
          const requested = sumOf(demands.map(({ requests }) => requests));
          expect(sumOf(shares.map(({ share }) => share))).toBeCloseTo(
            Math.min(slots * SHARED, requested),
            6,
          );
        }),
      );
    });

    it('gives no team more than it requests or less than its weighted part', () => {
      fc.assert(
        fc.property(INPUTS, ({ demands, slots }) => {
          const shares = computeEngineShares({ demands, slots });
          const weightOfAll = sumOf(demands.map(({ weight }) => weight));
          for (const { team, requests, weight } of demands) {
            const share = shares.get(team)?.share ?? -1;
            expect(share).toBeLessThanOrEqual(requests);
            const part = weightOfAll === 0 ? 0 : (slots * SHARED * weight) / weightOfAll;
            expect(share).toBeGreaterThanOrEqual(Math.min(requests, part) - 1e-6);
          }
        }),
      );
    });

    it('finds no team over its share unless the engines are contended', () => {
      fc.assert(
        fc.property(INPUTS, ({ demands, slots }) => {
          const requested = sumOf(demands.map(({ requests }) => requests));
          if (requested < slots * SHARED) expect(overShare(demands, slots)).toEqual([]);
        }),
      );
    });
  });

  describe('in a flood of one team', () => {
    const others = Array.from({ length: 20 }, (_, index) => ({
      ...{ team: `t${index}`, requests: 5, weight: 5 },
    }));

    it('finds only the flooding team over its share', () => {
      expect(overShare([...others, { team: 'flood', requests: 200, weight: 40 }], 180)).toEqual([
        'flood',
      ]);
    });

    it('lends unused slots to the flooding team', () => {
      const demands = [...others, { team: 'flood', requests: 200, weight: 1 }];
      expect(computeEngineShares({ demands, slots: 180 }).get('flood')?.share).toBeCloseTo(44);
    });
  });

  describe('tolerance', () => {
    it.each([
      ['allows 1.25 times its share to a team', { requests: 75, share: 60, slots: 150 }, false],
      ['does not allow more', { requests: 76, share: 60, slots: 150 }, true],
      ['allows an excess of a tenth of the slots', { requests: 35, share: 20, slots: 150 }, false],
      ['allows two requests more on few slots', { requests: 6, share: 4, slots: 10 }, false],
      ['does not allow three requests more', { requests: 7, share: 4, slots: 10 }, true],
    ])('%s', (_, { requests, share, slots }, expected) => {
      const other = slots * SHARED - share;
      const demands = [
        { team: 'team', requests, weight: share },
        { team: 'other', requests: other, weight: other },
      ];
      expect(overShare(demands, slots)).toEqual(expected ? ['team'] : []);
    });
  });

  describe('when no team is to be protected', () => {
    it('finds no team over its share in a burst of all teams', () => {
      const demands = [1, 2, 5, 12, 40].map((weight) => ({
        ...{ team: `t${weight}`, requests: weight * 5, weight },
      }));
      expect(overShare(demands, 100)).toEqual([]);
    });

    it('does not find a team that is alone over its share', () => {
      expect(overShare([{ team: 'alone', requests: 500, weight: 1 }], 100)).toEqual([]);
    });
  });
});

describe('countRequestsAhead', () => {
  it('counts the load except for the excess of teams over their share', () => {
    const demands = [
      { team: 'flood', requests: 200, weight: 1 },
      { team: 'other', requests: 100, weight: 1 },
    ];
    const shares = computeEngineShares({ demands, slots: 180 });
    expect(shares.get('flood')).toMatchObject({ isOverShare: true });
    const excess = 200 - (shares.get('flood')?.share ?? 0);
    expect(countRequestsAhead({ load: 310, shares })).toBeCloseTo(310 - excess);
    expect(countRequestsAhead({ load: 5, shares })).toBe(0);
  });
});

import * as fc from 'fast-check';
import { type TeamDemand, computeEngineShares } from '..';

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
    it('distributes all slots, or as many as are requested', () => {
      fc.assert(
        fc.property(INPUTS, ({ demands, slots }) => {
          const shares = [...computeEngineShares({ demands, slots }).values()];
          const requested = sumOf(demands.map(({ requests }) => requests));
          expect(sumOf(shares.map(({ share }) => share))).toBeCloseTo(
            Math.min(slots, requested),
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
            const part = weightOfAll === 0 ? 0 : (slots * weight) / weightOfAll;
            expect(share).toBeGreaterThanOrEqual(Math.min(requests, part) - 1e-6);
          }
        }),
      );
    });

    it('finds no team over its share unless the engines are contended', () => {
      fc.assert(
        fc.property(INPUTS, ({ demands, slots }) => {
          const requested = sumOf(demands.map(({ requests }) => requests));
          if (requested <= slots) expect(overShare(demands, slots)).toEqual([]);
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
      expect(computeEngineShares({ demands, slots: 180 }).get('flood')?.share).toBeCloseTo(80);
    });
  });

  describe('tolerance', () => {
    it.each([
      ['allows the requests of one more program to a small team', 6, 0.04, []],
      ['allows a large team 1.25 times its share', 125, 1, []],
      ['is exceeded by a large team with more', 126, 1, ['team']],
    ])('%s', (_, requests, weight, expected) => {
      const other = { team: 'other', requests: 100, weight: 1 };
      const slots = weight === 1 ? 200 : 104;
      expect(overShare([{ team: 'team', requests, weight }, other], slots)).toEqual(expected);
    });
  });
});

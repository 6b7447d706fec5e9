import fc from 'fast-check';
import { SeededRandom } from '../../core';
import { collectLog } from '../../core/tests/collected-log';
import { ManualClock } from '../../core/tests/manual-clock';
import { type ListedTarget, TargetDirectory, type TargetState } from '..';

const LISTED: ListedTarget = {
  id: 't',
  service: 's',
  address: '10.0.0.1:80',
  availabilityZone: 'a',
  slots: 6,
  draining: false,
};

function createDirectory() {
  const clock = new ManualClock();
  const { logger, lines } = collectLog();
  const targets = new TargetDirectory({
    ...{ clock, logger, random: new SeededRandom(1) },
    source: { list: () => Promise.resolve([]) },
  });
  const removed: TargetState[] = [];
  targets.onDraining((state) => removed.push(state));
  return { clock, targets, removed, lines };
}

function stateOf(targets: TargetDirectory): TargetState {
  const state = targets.get('t');
  if (state === undefined) throw new Error('test target is not in the directory');
  return state;
}

describe('a target that restarts under its former id', () => {
  const parts = [{ id: 'p', tokens: 100 }];

  it('gets a fresh state, while requests in flight keep the former one', () => {
    const { targets, removed, lines } = createDirectory();
    targets.update([{ ...LISTED, bornAt: 1000 }]);
    const former = stateOf(targets);
    former.inFlight = 3;
    former.recordParts(parts, 0, Infinity);
    former.recordOutcome('address-reused');
    targets.update([{ ...LISTED, bornAt: 2000 }]);
    const fresh = stateOf(targets);
    expect(fresh).not.toBe(former);
    expect(fresh).toMatchObject({ load: 0, failureShare: 0, isPaused: false, isRetired: false });
    expect(fresh.cachedTokens(parts)).toBe(0);
    expect(former).toMatchObject({ inFlight: 3, isRetired: true });
    expect(removed).toEqual([former]);
    expect(targets.ofService('s').all).toEqual([fresh]);
    expect(lines.at(-1)).toMatchObject({
      event: 'target-restarted',
      target: 't',
      born: 2000,
      previousBorn: 1000,
    });
  });

  it('keeps its state if an entry is older, or has no start', () => {
    const { targets, removed } = createDirectory();
    targets.update([{ ...LISTED, bornAt: 2000 }]);
    const state = stateOf(targets);
    targets.update([{ ...LISTED, bornAt: 1000, address: '10.0.0.2:80', draining: true }]);
    targets.update([{ ...LISTED, slots: 7 }]);
    expect(stateOf(targets)).toBe(state);
    expect(state.target).toEqual({ ...LISTED, slots: 7, bornAt: 2000 });
    expect(removed).toEqual([]);
  });

  it('may return with an earlier start once no list has named it for a minute', () => {
    const { targets, clock } = createDirectory();
    targets.update([{ ...LISTED, bornAt: 2000 }]);
    targets.update([]);
    clock.advance(50_000);
    targets.update([{ ...LISTED, bornAt: 1000 }]);
    expect(targets.get('t')).toBeUndefined();
    clock.advance(61_000);
    targets.update([{ ...LISTED, bornAt: 1000 }]);
    expect(targets.get('t')).toBeDefined();
  });

  it('never returns to an earlier incarnation, in any order of old and new lists', () => {
    const entry = fc.record({
      bornAt: fc.option(fc.integer({ min: 5000, max: 5005 }), { nil: undefined }),
      address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80'),
      draining: fc.boolean(),
    });
    const lists = fc.array(fc.array(entry, { maxLength: 3 }), { maxLength: 12 });
    fc.assert(
      fc.property(lists, (orders) => {
        const { targets, clock } = createDirectory();
        let newest = -Infinity;
        let state: TargetState | undefined;
        for (const entries of orders) {
          const previousBornAt = state?.target.bornAt ?? Infinity;
          targets.update(entries.map((fields) => ({ ...LISTED, ...fields })));
          clock.advance(700);
          const current = targets.get('t');
          const { bornAt = newest } = current?.target ?? {};
          expect(bornAt).toBeGreaterThanOrEqual(newest);
          if (bornAt > previousBornAt) expect(current).not.toBe(state);
          expect(current?.isRetired ?? false).toBe(false);
          newest = bornAt;
          state = current;
        }
      }),
    );
  });
});

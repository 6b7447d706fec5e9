import { TurnsUnavailableError } from '..';
import { StoreGroup, createRecord } from './store-group';

const FIRST_MEMBERS = ['s1', 's2', 's3', 's4', 's5'];

const DEADLINE_MILLISECONDS = 1500;

/**
 * A group whose view replaces s5 by the spare s6, known to some of the stores only. The others
 * still serve the first view, as does s5, which was cut off or is retiring.
 */
async function replaceMember(informed: readonly string[]) {
  const group = new StoreGroup();
  for (const name of [...FIRST_MEMBERS, 's6']) await group.start(name);
  const first = group.viewOf(1, FIRST_MEMBERS);
  await group.offer(first, FIRST_MEMBERS);
  const second = group.viewOf(2, ['s1', 's2', 's3', 's4', 's6'], { s6: 2 });
  await group.offer(second, informed);
  return { group, first, second };
}

/** Records a turn in the new view, then looks it up from a process that knows only the old view. */
async function lookUpWithOldView(informed: readonly string[], unreachable: readonly string[]) {
  const { group, first, second } = await replaceMember(informed);
  const deadline = group.clock.monotonic() + DEADLINE_MILLISECONDS;
  const recorded = await group.outcomeOf(
    group.client('g1', second).record(createRecord('t1'), deadline),
  );
  group.cut('g2', unreachable);
  const lookup = await group.outcomeOf(
    group.client('g2', first).chain('t1', 'p', group.clock.monotonic() + DEADLINE_MILLISECONDS),
  );
  return { wasRecorded: !(recorded instanceof Error), lookup };
}

/** Whether the lookup found the turn or left open whether it exists. */
function isTruthful(lookup: unknown): boolean {
  if (lookup instanceof TurnsUnavailableError) return true;
  return (lookup as { readonly kind?: string }).kind === 'found';
}

// Guards against a recorded turn reported as absent by a process that knows only an older view.
describe('a view change that only a part of the stores has adopted', () => {
  describe('with a quorum of the old view uninformed', () => {
    const informed = ['s1', 's2', 's6'];

    it('does not acknowledge a turn that a process on the other side reports as absent', async () => {
      const { wasRecorded, lookup } = await lookUpWithOldView(informed, ['s1', 's2', 's6']);
      expect(wasRecorded && !isTruthful(lookup)).toBe(false);
    });

    it('does not report a turn as absent after a store has rejected the epoch as stale', async () => {
      const { wasRecorded, lookup } = await lookUpWithOldView(informed, []);
      expect(wasRecorded && !isTruthful(lookup)).toBe(false);
    });
  });

  describe('with a quorum of the old view informed, but not the joining store', () => {
    it('acknowledges a turn before the joining store has started its backfill', async () => {
      const { wasRecorded } = await lookUpWithOldView(['s1', 's2', 's3'], []);
      expect(wasRecorded).toBe(true);
    });
  });

  describe('with a quorum of the old view informed', () => {
    const informed = ['s1', 's2', 's3', 's6'];

    it('keeps a recorded turn readable, or says that the stores are unavailable', async () => {
      const sides = [['s1', 's2', 's6'], ['s3', 's4', 's5'], []];
      for (const unreachable of sides) {
        const { wasRecorded, lookup } = await lookUpWithOldView(informed, unreachable);
        expect([unreachable, wasRecorded, isTruthful(lookup)]).toEqual([unreachable, true, true]);
      }
    });
  });
});

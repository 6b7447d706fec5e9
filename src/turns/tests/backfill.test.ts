import { SeededRandom } from '../../core';
import { rankReplicas } from '../replica-ranking';
import { StoreGroup, createRecord } from './store-group';

const FIRST_MEMBERS = ['s1', 's2', 's3', 's4', 's5'];

const NEXT_MEMBERS = ['s1', 's2', 's3', 's4', 's6'];

/** Larger than a page of a pull. */
const LARGE_INPUT = Buffer.alloc(300 * 1024);

const IDS = ['t1', 't2', 't3', 't4'];

/** A group in which s6, which reaches all but the named stores, has joined in place of s5. */
async function joinStore(unreachable: readonly string[]) {
  const group = new StoreGroup();
  for (const name of [...FIRST_MEMBERS, 's6']) await group.start(name);
  const first = group.viewOf(1, FIRST_MEMBERS);
  await group.offer(first, FIRST_MEMBERS);
  const client = group.client('g', first);
  for (const id of IDS) {
    const deadline = group.clock.monotonic() + 1000;
    await group.outcomeOf(client.record(createRecord(id, { input: LARGE_INPUT }), deadline));
  }
  group.cut('s6', unreachable);
  await group.offer(group.viewOf(2, NEXT_MEMBERS, { s6: 2 }), NEXT_MEMBERS);
  return group;
}

function heldBy(group: StoreGroup, name: string): readonly string[] {
  const { table } = group.store(name).journal;
  return IDS.filter((id) => table.has(id));
}

// Guards against a store that counts as complete without all turns recorded before it joined.
describe('the backfill of a store that joins', () => {
  describe('with a quorum of complete members in reach', () => {
    it('ends with all turns, which fill several pages', async () => {
      const group = await joinStore(['s4']);
      expect(group.store('s6').journal.completeFor).toBe(2);
      expect(heldBy(group, 's6')).toEqual(IDS);
    });

    it('still has them after a power loss', async () => {
      const group = await joinStore([]);
      group.disk('s6').losePower(new SeededRandom(2));
      await group.start('s6');
      expect(group.store('s6').journal.completeFor).toBe(2);
      expect(heldBy(group, 's6')).toEqual(IDS);
    });
  });

  describe('while expired turns are dropped', () => {
    // The first turn is past its retention, but not the one that continues it.
    const EXPIRED_MILLISECONDS = 125_000;
    const EXPIRY_INTERVAL_MILLISECONDS = 10_000;

    it('keeps a turn until those that continue it have arrived', async () => {
      const group = new StoreGroup();
      for (const name of [...FIRST_MEMBERS, 's6']) await group.start(name);
      const first = group.viewOf(1, FIRST_MEMBERS);
      await group.offer(first, FIRST_MEMBERS);
      const client = group.client('g', first);
      const record = (id: string, previous?: string) => {
        const endedAt = group.clock.now();
        const turn = createRecord(id, { previous, endedAt });
        return group.outcomeOf(client.record(turn, group.clock.monotonic() + 1000));
      };
      const next = group.viewOf(2, NEXT_MEMBERS, { s6: 2 });
      const sources = rankReplicas(next, 's6').filter(({ name }) => name !== 's6');
      const [firstSource = '', secondSource = '', lastSource = ''] = sources.map(
        ({ name }) => name,
      );
      await record('t1');
      group.clock.advance(EXPIRED_MILLISECONDS / 2);
      group.cut('g', [firstSource, secondSource]);
      await record('t2', 't1');
      group.clock.advance(EXPIRED_MILLISECONDS / 2);
      group.intercept(lastSource, 'turns.pull', () => {
        group.clock.advance(EXPIRY_INTERVAL_MILLISECONDS);
      });
      await group.offer(next, NEXT_MEMBERS);
      expect(group.store('s6').journal.completeFor).toBe(2);
      expect(heldBy(group, 's6')).toEqual(['t1', 't2']);
    });
  });

  describe('with one member less than a quorum in reach', () => {
    it('does not end', async () => {
      const group = await joinStore(['s3', 's4']);
      expect(group.store('s6').journal.completeFor).toBe(0);
    });

    it('ends once another one is in reach', async () => {
      const group = await joinStore(['s3', 's4']);
      group.cut('s6', ['s4']);
      await group.settle();
      expect(group.store('s6').journal.completeFor).toBe(2);
      expect(heldBy(group, 's6')).toEqual(IDS);
    });
  });

  describe('with incomplete members', () => {
    it('does not count them as sources', async () => {
      const group = await joinStore(['s1', 's2', 's3', 's4']);
      for (const name of ['s7', 's8']) await group.start(name);
      const members = ['s1', 's2', 's6', 's7', 's8'];
      const joined = { s6: 2, s7: 3, s8: 4 };
      for (const name of ['s6', 's7', 's8']) group.cut(name, ['s1']);
      await group.offer(group.viewOf(4, members, joined), members);
      const completeFor = ['s6', 's7', 's8'].map((name) => group.store(name).journal.completeFor);
      expect(completeFor).toEqual([0, 0, 0]);
    });
  });
});

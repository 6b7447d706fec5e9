import { ManualClock } from '../../core/tests/manual-clock';
import { TurnTable } from '..';
import { PullSessions } from '../pull-sessions';
import { createRecord } from './store-group';

/** Larger than a page, so that each page holds one turn. */
const LARGE_INPUT = Buffer.alloc(300 * 1024);

function createTable(ids: readonly string[]): TurnTable {
  const table = new TurnTable();
  for (const id of ids) {
    table.apply({ kind: 'turn', record: createRecord(id, { input: LARGE_INPUT }) });
  }
  return table;
}

function readPage(sessions: PullSessions, offset: number, held: readonly string[] = []) {
  return sessions.readPage({ epoch: 1, filling: 'session-1', offset, held });
}

/** Reads pages like a backfilling store; `sessionsOf` is called before each page. */
function pullAll(
  sessionsOf: (page: number) => PullSessions,
  held: readonly string[],
): { readonly received: readonly string[]; readonly isFinished: boolean } {
  const received: string[] = [];
  let offset = 0;
  for (let page = 0; page < 20; page += 1) {
    const { rows, final } = readPage(sessionsOf(page), offset, page === 0 ? held : []);
    for (const row of rows) if (row.kind === 'turn') received.push(row.record.id);
    if (final) return { received, isFinished: true };
    offset += rows.length;
  }
  return { received, isFinished: false };
}

// Guards against a backfill that ends as complete without some of the source's rows.
describe('PullSessions', () => {
  const ids = ['t1', 't2', 't3', 't4'];

  describe('within one session', () => {
    it('serves all rows in pages, without the turns that the requester holds', () => {
      const sessions = new PullSessions(createTable(ids), new ManualClock());
      const { received, isFinished } = pullAll(() => sessions, ['t1', 't3']);
      expect([received, isFinished]).toEqual([['t2', 't4'], true]);
    });

    it('serves budgets although the requester holds the turns', () => {
      const sessions = new PullSessions(createTable(ids), new ManualClock());
      const { rows } = readPage(sessions, 0, ids);
      expect(rows.map(({ kind }) => kind)).toEqual(['budget']);
    });

    it('keeps its row list while rows are added and expire', () => {
      const table = createTable(ids);
      const sessions = new PullSessions(table, new ManualClock());
      const { received } = pullAll((page) => {
        if (page === 1) table.expire(10 ** 9);
        return sessions;
      }, []);
      expect(received).toEqual(ids);
    });
  });

  describe('after a pause in which the session was evicted and a turn expired', () => {
    it('does not finish a pull in which rows were skipped', () => {
      const clock = new ManualClock();
      const table = new TurnTable();
      for (const id of ids) {
        const retentionSeconds = id === 't1' ? 0 : 1000;
        const record = createRecord(id, { input: LARGE_INPUT, retentionSeconds });
        table.apply({ kind: 'turn', record });
      }
      const sessions = new PullSessions(table, clock);
      const { received, isFinished } = pullAll((page) => {
        if (page === 1) {
          clock.jump(100_000);
          table.expire(clock.now());
        }
        return sessions;
      }, []);
      expect(isFinished ? received : ids).toEqual(ids);
    });
  });
});

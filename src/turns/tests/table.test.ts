import { TurnTable } from '..';
import { createRecord } from './store-group';

const RETENTION_SECONDS = 60;

const SECOND = 1000;

/** Turn `id`, which ended `endedAt` milliseconds after the epoch. */
function turn(id: string, previous: string | undefined, endedAt: number) {
  const record = createRecord(id, { previous, endedAt, retentionSeconds: RETENTION_SECONDS });
  return { kind: 'turn', record } as const;
}

function tableOf(...rows: ReturnType<typeof turn>[]): TurnTable {
  const table = new TurnTable();
  for (const row of rows) table.apply(row);
  return table;
}

function idsOf(table: TurnTable, last: string): readonly string[] {
  return table.chain(last).records.map(({ id }) => id);
}

// Guards against the loss of a turn before its retention has passed since the end of its chain.
describe('TurnTable.expire', () => {
  describe('of a single turn', () => {
    it('keeps it within its retention although the clocks differ by seconds', () => {
      for (const stepSeconds of [-30, 0, 30]) {
        const table = tableOf(turn('t1', undefined, 0));
        expect(table.expire((RETENTION_SECONDS + stepSeconds) * SECOND)).toBe(0);
        expect(idsOf(table, 't1')).toEqual(['t1']);
      }
    });

    it('keeps it for longer if its retention is longer', () => {
      const record = createRecord('t1', { retentionSeconds: 10 * RETENTION_SECONDS });
      const table = new TurnTable();
      table.apply({ kind: 'turn', record });
      expect(table.expire(9 * RETENTION_SECONDS * SECOND)).toBe(0);
    });

    it('drops it some time after its retention', () => {
      const table = tableOf(turn('t1', undefined, 0));
      expect(table.expire(10 * RETENTION_SECONDS * SECOND)).toBe(1);
      expect(idsOf(table, 't1')).toEqual([]);
    });
  });

  describe('of a chain', () => {
    const chain = [
      turn('t1', undefined, 0),
      turn('t2', 't1', 10 * SECOND),
      turn('t3', 't2', 500 * SECOND),
    ] as const;

    it('keeps the ancestors of a turn within its retention', () => {
      const table = tableOf(...chain);
      expect(table.expire(530 * SECOND)).toBe(0);
      expect(idsOf(table, 't3')).toEqual(['t1', 't2', 't3']);
    });

    it('keeps the chain at one of the stores although no store holds all of its turns', () => {
      const [first, second, third] = chain;
      const stores = [
        tableOf(first, second),
        tableOf(first, third),
        tableOf(first, third),
        tableOf(second, third),
        tableOf(second),
      ];
      for (const store of stores) store.expire(530 * SECOND);
      const isKept = (id: string) => stores.some((store) => store.has(id));
      expect(['t1', 't2', 't3'].map((id) => [id, isKept(id)])).toEqual([
        ['t1', true],
        ['t2', true],
        ['t3', true],
      ]);
    });
  });
});

// Guards against a message that a long chain makes too long, and against a read that does not end.
describe('TurnTable.chain', () => {
  const chain = [turn('t1', undefined, 0), turn('t2', 't1', 0), turn('t3', 't2', 0)] as const;

  it('ends with the latest turns that fit, and names the next one', () => {
    const table = tableOf(...chain);
    const { records, missing } = table.chain('t3', 1);
    expect(records.map(({ id }) => id)).toEqual(['t3']);
    expect(missing).toBe('t2');
    expect(table.chain('t3')).toMatchObject({ records: { length: 3 }, missing: undefined });
  });

  it('names the nearest absent turn', () => {
    const [first, , third] = chain;
    const table = tableOf(first, third);
    expect(table.missingAncestor('t3')).toBe('t2');
    expect(table.missingAncestor('t1')).toBeUndefined();
    expect(table.missingAncestor('t4')).toBe('t4');
  });

  it('ends although the turns continue each other, which then counts as a missing turn', () => {
    const table = tableOf(turn('t1', 't2', 0), turn('t2', 't1', 0));
    expect(table.chain('t1').records).toHaveLength(2);
    expect(table.missingAncestor('t1')).toBe('t1');
  });
});

import fc from 'fast-check';
import { type Reservation, type TurnRow, TurnTable, decodeRow, encodeRow } from '..';

const PROGRAM = 'p';

function budgetRow(reservation: Reservation): TurnRow {
  return { kind: 'budget', program: PROGRAM, changedAt: 0, reservations: [reservation] };
}

/** Encodes and decodes a row, as the journal does on a restart. */
function restore(row: TurnRow): TurnRow {
  const [kind, ...fields] = JSON.parse(encodeRow(row)) as readonly unknown[];
  return decodeRow(kind, fields);
}

const WRITTEN = { turn: 't1', tokens: 10, settled: false };
const SPREAD = { ...WRITTEN, spread: true } as const;
const SETTLED = { turn: 't1', tokens: 4, settled: true };

const RECORDED: TurnRow = {
  kind: 'turn',
  record: {
    id: 't1',
    program: PROGRAM,
    previous: undefined,
    input: Buffer.alloc(0),
    output: Buffer.alloc(0),
    tokens: 4,
    contextTokens: 4,
    endedAt: 0,
    retentionSeconds: 60,
    target: 'e1',
  },
};

describe('the mark of a spread reservation', () => {
  const rows = [budgetRow(WRITTEN), budgetRow(SPREAD), budgetRow(SETTLED), RECORDED];

  it('is kept whatever the order in which its rows arrive, also after a restart', () => {
    const orders = fc.shuffledSubarray(rows, { minLength: rows.length });
    fc.assert(
      fc.property(orders, (ordered) => {
        const table = new TurnTable();
        const restored = new TurnTable();
        for (const row of ordered) {
          if (table.apply(row)) restored.apply(restore(row));
        }
        const expected = [{ ...SETTLED, spread: true }];
        expect(table.reservations(PROGRAM)).toEqual(expected);
        expect(restored.reservations(PROGRAM)).toEqual(expected);
        const compacted = new TurnTable();
        for (const row of table.rows()) compacted.apply(restore(row));
        expect(compacted.reservations(PROGRAM)).toEqual(expected);
      }),
    );
  });

  it('changes no bytes of a reservation without it', () => {
    expect(encodeRow(budgetRow(WRITTEN))).toBe('["budget","p",0,[["t1",10,false]]]');
    expect(restore(budgetRow(WRITTEN))).toEqual(budgetRow(WRITTEN));
  });
});

import * as z from 'zod';
import type { Order, Program, Spending, Step } from './records';
import type { Tables } from './tables';

/** A program as a snapshot holds it: maps become lists. */
interface ProgramRow extends Omit<Program, 'steps' | 'keys'> {
  readonly steps: readonly Step[];
  readonly keys: readonly (readonly [string, number])[];
}

/** One row of a snapshot. Only this module writes and reads them, so they are not checked again. */
type Row =
  | { readonly table: 'programs'; readonly value: ProgramRow }
  | { readonly table: 'spending'; readonly key: string; readonly value: Spending }
  | { readonly table: 'children'; readonly key: string; readonly value: readonly string[] }
  | { readonly table: 'orders'; readonly value: Order };

const tableSchema = z.looseObject({
  table: z.enum(['programs', 'spending', 'children', 'orders']),
});

/**
 * The rows of the tables as they stand now. The records are immutable, so that only the lists of
 * them are copied here, and each is encoded when its row is read.
 */
export function snapshotTables(tables: Tables): Iterable<string> {
  const programs = [...tables.programs.values()];
  const spending = [...tables.spending];
  const children = [...tables.children];
  const orders = [...tables.orders.values()];
  return {
    *[Symbol.iterator]() {
      for (const program of programs) yield encode({ table: 'programs', value: toRow(program) });
      for (const [key, value] of spending) yield encode({ table: 'spending', key, value });
      for (const [key, value] of children) {
        yield encode({ table: 'children', key, value: [...value] });
      }
      for (const value of orders) yield encode({ table: 'orders', value });
    },
  };
}

/** Fills empty tables from the rows of a snapshot. */
export function restoreTables(tables: Tables, rows: readonly string[]): void {
  for (const text of rows) {
    const row = JSON.parse(text) as Row;
    tableSchema.parse(row);
    restoreRow(tables, row);
  }
}

function restoreRow(tables: Tables, row: Row): void {
  switch (row.table) {
    case 'programs':
      tables.put(fromRow(row.value));
      return;
    case 'spending':
      tables.spending.set(row.key, row.value);
      return;
    case 'children':
      tables.children.set(row.key, new Set(row.value));
      return;
    case 'orders':
      tables.orders.set(row.value.id, row.value);
  }
}

function encode(row: Row): string {
  return JSON.stringify(row);
}

function toRow(program: Program): ProgramRow {
  return { ...program, steps: [...program.steps.values()], keys: [...program.keys] };
}

function fromRow(row: ProgramRow): Program {
  const steps = new Map(row.steps.map((step) => [step.sequence, step]));
  return { ...row, steps, keys: new Map(row.keys) };
}

import * as z from 'zod';
import { type ContentPlace, contentPlaceSchema } from '../storage';
import type { Contents } from './contents';
import type { Order, Program, Spending, Step } from './records';
import type { Tables } from './tables';

/** The contents as snapshots need them. */
export interface SnapshotContents extends Contents {
  putAs(handle: number, text: string): void;
  adopt(handle: number, place: ContentPlace): void;
  has(handle: number): boolean;
  get(handle: number): Promise<string>;
  placeOf(handle: number): ContentPlace | undefined;
  reset(): void;
  /** Resolves once every text is synced. */
  flush(): Promise<void>;
  unusedFiles(): readonly number[];
  removeFiles(numbers: readonly number[]): Promise<void>;
}

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
  | { readonly table: 'orders'; readonly value: Order }
  /** Where a content lies on this host. */
  | { readonly table: 'places'; readonly handle: number; readonly value: ContentPlace }
  /** A content itself, for another host. */
  | { readonly table: 'texts'; readonly handle: number; readonly value: string };

const tableSchema = z.looseObject({
  table: z.enum(['programs', 'spending', 'children', 'orders', 'places', 'texts']),
});

/**
 * The rows of the tables as they stand now, with the places of their contents on this host. The
 * records are immutable, so that only the lists of them are copied here, and each is encoded when
 * its row is read; the contents must be flushed by then.
 */
export function snapshotTables(tables: Tables, contents: SnapshotContents): Iterable<string> {
  const captured = captureTables(tables);
  return {
    *[Symbol.iterator]() {
      for (const handle of handlesOf(captured.programs)) {
        const value = contents.placeOf(handle);
        if (value !== undefined) yield encode({ table: 'places', handle, value });
      }
      yield* encodeTables(captured);
    },
  };
}

/** The same for another host: with the contents themselves. */
export function transferTables(tables: Tables, contents: SnapshotContents): AsyncIterable<string> {
  const captured = captureTables(tables);
  return {
    async *[Symbol.asyncIterator]() {
      for (const handle of handlesOf(captured.programs)) {
        // A program that was forgotten since is forgotten by the entries that follow, too.
        if (!contents.has(handle)) continue;
        yield encode({ table: 'texts', handle, value: await contents.get(handle) });
      }
      yield* encodeTables(captured);
    },
  };
}

/** Fills empty tables from the rows of a snapshot. */
export function restoreTables(
  tables: Tables,
  contents: SnapshotContents,
  rows: readonly string[],
): void {
  for (const text of rows) {
    const row = JSON.parse(text) as Row;
    tableSchema.parse(row);
    restoreRow(tables, contents, row);
  }
}

function restoreRow(tables: Tables, contents: SnapshotContents, row: Row): void {
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
      return;
    case 'places':
      contents.adopt(row.handle, contentPlaceSchema.parse(row.value));
      return;
    case 'texts':
      contents.putAs(row.handle, row.value);
  }
}

/** Lists of immutable records, as they stood at one moment. */
interface Captured {
  readonly programs: readonly Program[];
  readonly spending: readonly (readonly [string, Spending])[];
  readonly children: readonly (readonly [string, ReadonlySet<string>])[];
  readonly orders: readonly Order[];
}

function captureTables(tables: Tables): Captured {
  return {
    programs: [...tables.programs.values()],
    spending: [...tables.spending],
    children: [...tables.children],
    orders: [...tables.orders.values()],
  };
}

function* encodeTables({ programs, spending, children, orders }: Captured): Generator<string> {
  for (const program of programs) yield encode({ table: 'programs', value: toRow(program) });
  for (const [key, value] of spending) yield encode({ table: 'spending', key, value });
  for (const [key, value] of children) {
    yield encode({ table: 'children', key, value: [...value] });
  }
  for (const value of orders) yield encode({ table: 'orders', value });
}

function* handlesOf(programs: readonly Program[]): Generator<number> {
  for (const program of programs) {
    for (const step of program.steps.values()) {
      if (step.state === 'done') yield step.content;
    }
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

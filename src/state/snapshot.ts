import * as z from 'zod';
import { type ContentLocation, contentLocationSchema } from '../storage';
import type { ContentWriter } from './step-contents';
import type { Order, Program, Spending, Step } from './records';
import type { ProgramTables } from './program-tables';

/** Content storage that can be written to and restored from snapshots. */
export interface SnapshotContentStore extends ContentWriter {
  putWithHandle(handle: number, text: string): void;
  restore(handle: number, location: ContentLocation): void;
  has(handle: number): boolean;
  get(handle: number): Promise<string>;
  locationOf(handle: number): ContentLocation | undefined;
  reset(): void;
  /** Resolves once all texts are synced to disk. */
  flush(): Promise<void>;
  unusedFiles(): readonly number[];
  removeFiles(numbers: readonly number[]): Promise<void>;
}

/** A program in a snapshot, with maps encoded as lists. */
interface ProgramRow extends Omit<Program, 'steps' | 'keys'> {
  readonly steps: readonly Step[];
  readonly keys: readonly (readonly [string, number])[];
}

/** A snapshot row. Only this module writes rows, so their values are not validated when read. */
type Row =
  | { readonly table: 'programs'; readonly value: ProgramRow }
  | { readonly table: 'spending'; readonly key: string; readonly value: Spending }
  | { readonly table: 'children'; readonly key: string; readonly value: readonly string[] }
  | { readonly table: 'orders'; readonly value: Order }
  /** Location of a content in the files of this host. */
  | { readonly table: 'places'; readonly handle: number; readonly value: ContentLocation }
  /** Text of a content, for another host. */
  | { readonly table: 'texts'; readonly handle: number; readonly value: string };

const tableSchema = z.looseObject({
  table: z.enum(['programs', 'spending', 'children', 'orders', 'places', 'texts']),
});

/**
 * Rows of the tables at the time of the call, with the locations of their contents on this host.
 * Rows are encoded lazily: the records are immutable, so only the lists of them are copied up
 * front. The contents must be flushed before the rows are read.
 */
export function snapshotTables(
  tables: ProgramTables,
  contents: SnapshotContentStore,
): Iterable<string> {
  const captured = captureTables(tables);
  return {
    *[Symbol.iterator]() {
      for (const handle of handlesOf(captured.programs)) {
        const value = contents.locationOf(handle);
        if (value !== undefined) yield encode({ table: 'places', handle, value });
      }
      yield* encodeTables(captured);
    },
  };
}

/** Like {@link snapshotTables}, for another host: with the texts of the contents. */
export function transferTables(
  tables: ProgramTables,
  contents: SnapshotContentStore,
): AsyncIterable<string> {
  const captured = captureTables(tables);
  return {
    async *[Symbol.asyncIterator]() {
      for (const handle of handlesOf(captured.programs)) {
        // Purged after the capture; the log entries that follow the snapshot purge it there too.
        if (!contents.has(handle)) continue;
        yield encode({ table: 'texts', handle, value: await contents.get(handle) });
      }
      yield* encodeTables(captured);
    },
  };
}

/** Loads the rows of a snapshot into empty tables. */
export function restoreTables(
  tables: ProgramTables,
  contents: SnapshotContentStore,
  rows: readonly string[],
): void {
  for (const text of rows) {
    const row = JSON.parse(text) as Row;
    tableSchema.parse(row);
    restoreRow(tables, contents, row);
  }
}

function restoreRow(tables: ProgramTables, contents: SnapshotContentStore, row: Row): void {
  switch (row.table) {
    case 'programs':
      tables.putProgram(fromRow(row.value));
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
      contents.restore(row.handle, contentLocationSchema.parse(row.value));
      return;
    case 'texts':
      contents.putWithHandle(row.handle, row.value);
  }
}

/** Lists of immutable records at one point in time. */
interface CapturedTables {
  readonly programs: readonly Program[];
  readonly spending: readonly (readonly [string, Spending])[];
  readonly children: readonly (readonly [string, ReadonlySet<string>])[];
  readonly orders: readonly Order[];
}

function captureTables(tables: ProgramTables): CapturedTables {
  return {
    programs: [...tables.programs.values()],
    spending: [...tables.spending],
    children: [...tables.children],
    orders: [...tables.orders.values()],
  };
}

function* encodeTables({
  programs,
  spending,
  children,
  orders,
}: CapturedTables): Generator<string> {
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

export type OutputFormat = 'json' | 'table';

/** Rows of cells; the first row sets the number of columns. */
export type Rows = readonly (readonly string[])[];

/** Pads the cells of each column to the same width. */
export function formatTable(rows: Rows): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Writes either `value` as JSON or `tables`, separated by empty lines, to standard output. */
export function writeOutput(format: OutputFormat, value: unknown, tables: readonly Rows[]): void {
  const text =
    format === 'json' ? JSON.stringify(value, null, 2) : tables.map(formatTable).join('\n\n');
  process.stdout.write(`${text}\n`);
}

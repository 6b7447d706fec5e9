export type OutputFormat = 'json' | 'table';

/** A table of texts; the first row heads the columns. */
export type Rows = readonly (readonly string[])[];

/** Renders rows in columns of even width. */
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

/** Writes a value as JSON, or its rows as tables with an empty line between. */
export function writeOutput(format: OutputFormat, value: unknown, tables: readonly Rows[]): void {
  const text =
    format === 'json' ? JSON.stringify(value, null, 2) : tables.map(formatTable).join('\n\n');
  process.stdout.write(`${text}\n`);
}

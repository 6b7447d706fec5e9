/** What one played day was worth. */
export interface PlayedDay {
  readonly set: string;
  readonly day: string;
  readonly seed: string;
  /** Nothing where the day could not be played to its end. */
  readonly worth: number | undefined;
  /** Rules that were broken, and the fault that ended the day. */
  readonly failures: readonly string[];
}

/** Mean worth of a set on one day over its seeds, beside the usual set's on the same seeds. */
export interface AblationRow {
  readonly set: string;
  readonly day: string;
  readonly seeds: number;
  readonly mean: number;
  readonly least: number;
  readonly most: number;
  /** Mean of the differences to the usual set, seed by seed; what the set's change is worth. */
  readonly difference: number;
  /** Standard deviation of these differences. */
  readonly spread: number;
  readonly failures: readonly string[];
}

/** One row for each set and day, in the order of the first day played with it. */
export function rowsOf(days: readonly PlayedDay[], usual: string): readonly AblationRow[] {
  const keys = [...new Set(days.map(({ set, day }) => JSON.stringify([set, day])))];
  return keys.flatMap((key) => {
    const played = days.filter(({ set, day }) => JSON.stringify([set, day]) === key);
    const row = rowOf(played, days, usual);
    return row === undefined ? [] : [row];
  });
}

function rowOf(
  played: readonly PlayedDay[],
  all: readonly PlayedDay[],
  usual: string,
): AblationRow | undefined {
  const [first] = played;
  const worths = played.flatMap(({ worth }) => (worth === undefined ? [] : [worth]));
  if (first === undefined || worths.length === 0) return undefined;
  const differences = played.flatMap(({ worth, day, seed }) => {
    const beside = all.find(
      (other) => other.set === usual && other.day === day && other.seed === seed,
    );
    return worth === undefined || beside?.worth === undefined ? [] : [worth - beside.worth];
  });
  return {
    set: first.set,
    day: first.day,
    seeds: worths.length,
    mean: meanOf(worths),
    least: Math.min(...worths),
    most: Math.max(...worths),
    difference: meanOf(differences),
    spread: deviationOf(differences),
    failures: [...new Set(played.flatMap(({ failures }) => failures))],
  };
}

/** The rows as a table of a page. */
export function formatRows(rows: readonly AblationRow[]): string {
  const head = [
    '| Set | Day | Seeds | Mean | Least to most | Against usual | Spread | Failures |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  const lines = rows.map((row) => {
    const range = `${row.least.toFixed(3)} to ${row.most.toFixed(3)}`;
    const sign = row.difference > 0 ? '+' : '';
    const difference = `${sign}${row.difference.toFixed(3)}`;
    const failures = row.failures.join(', ') || '-';
    const cells = [row.set, row.day, row.seeds, row.mean.toFixed(3), range, difference];
    return `| ${[...cells, row.spread.toFixed(3), failures].join(' | ')} |`;
  });
  return [...head, ...lines].join('\n');
}

function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function deviationOf(values: readonly number[]): number {
  if (values.length < 2) return 0;
  const mean = meanOf(values);
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return Math.sqrt(squares / (values.length - 1));
}

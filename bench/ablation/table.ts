/** Result of one run of a day. */
export interface DayResult {
  readonly set: string;
  readonly day: string;
  readonly seed: string;
  /** Score from the report; undefined if the player wrote no report. */
  readonly worth: number | undefined;
  /** Violated rules, and the fault that aborted the run. */
  readonly failures: readonly string[];
}

/** Scores of a set on one day over its seeds, compared with the default set on the same seeds. */
export interface AblationRow {
  readonly set: string;
  readonly day: string;
  readonly seeds: number;
  readonly mean: number;
  readonly minimum: number;
  readonly maximum: number;
  /** Mean of the paired score differences to the default set, seed by seed. */
  readonly difference: number;
  /** Sample standard deviation of these differences. */
  readonly standardDeviation: number;
  readonly failures: readonly string[];
}

/** One row for each set and day, in order of first appearance. */
export function buildRows(
  results: readonly DayResult[],
  defaultSet: string,
): readonly AblationRow[] {
  const keys = [...new Set(results.map(({ set, day }) => JSON.stringify([set, day])))];
  return keys.flatMap((key) => {
    const group = results.filter(({ set, day }) => JSON.stringify([set, day]) === key);
    const row = buildRow(group, results, defaultSet);
    return row === undefined ? [] : [row];
  });
}

function buildRow(
  group: readonly DayResult[],
  all: readonly DayResult[],
  defaultSet: string,
): AblationRow | undefined {
  const [first] = group;
  const scores = group.flatMap(({ worth }) => (worth === undefined ? [] : [worth]));
  if (first === undefined || scores.length === 0) return undefined;
  const differences = group.flatMap(({ worth, day, seed }) => {
    const baseline = all.find(
      (other) => other.set === defaultSet && other.day === day && other.seed === seed,
    );
    return worth === undefined || baseline?.worth === undefined ? [] : [worth - baseline.worth];
  });
  return {
    set: first.set,
    day: first.day,
    seeds: scores.length,
    mean: meanOf(scores),
    minimum: Math.min(...scores),
    maximum: Math.max(...scores),
    difference: meanOf(differences),
    standardDeviation: standardDeviationOf(differences),
    failures: [...new Set(group.flatMap(({ failures }) => failures))],
  };
}

/** Formats the rows as a Markdown table. */
export function formatRows(rows: readonly AblationRow[]): string {
  const header = [
    '| Set | Day | Seeds | Mean | Minimum to maximum | Difference to default | Standard deviation | Failures |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  const lines = rows.map((row) => {
    const range = `${row.minimum.toFixed(3)} to ${row.maximum.toFixed(3)}`;
    const sign = row.difference > 0 ? '+' : '';
    const difference = `${sign}${row.difference.toFixed(3)}`;
    const failures = row.failures.join(', ') || '-';
    const cells = [row.set, row.day, row.seeds, row.mean.toFixed(3), range, difference];
    return `| ${[...cells, row.standardDeviation.toFixed(3), failures].join(' | ')} |`;
  });
  return [...header, ...lines].join('\n');
}

function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function standardDeviationOf(values: readonly number[]): number {
  if (values.length < 2) return 0;
  const mean = meanOf(values);
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return Math.sqrt(squares / (values.length - 1));
}

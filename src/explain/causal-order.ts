import type { LogLine } from './log-line';

/**
 * Topological sort: keeps the order of each process's lines and puts a turn after the turn that it
 * continues. Timestamps, which come from the clocks of different hosts, order only unrelated lines.
 */
export function sortCausally(lines: readonly LogLine[]): readonly LogLine[] {
  const predecessors = lines.map((_, index) => new Set(predecessorsOf(lines, index)));
  const remaining = new Set(lines.keys());
  const ordered: LogLine[] = [];
  while (remaining.size > 0) {
    const next =
      earliest(lines, withoutPredecessors(remaining, predecessors)) ??
      earliest(lines, [...remaining]);
    if (next === undefined) break;
    remaining.delete(next);
    for (const indexes of predecessors) indexes.delete(next);
    const line = lines[next];
    if (line !== undefined) ordered.push(line);
  }
  return ordered;
}

/** Indexes of the previous line of the same host and of the turn that this line continues. */
function predecessorsOf(lines: readonly LogLine[], index: number): readonly number[] {
  const line = lines[index];
  const previousOfHost = lines.slice(0, index).findLastIndex(({ host }) => host === line?.host);
  const continued = lines.findIndex(
    ({ request }) => request !== undefined && request === line?.previous,
  );
  return [previousOfHost, continued].filter((found) => found >= 0 && found !== index);
}

function withoutPredecessors(
  remaining: ReadonlySet<number>,
  predecessors: readonly ReadonlySet<number>[],
): number[] {
  return [...remaining].filter((index) => predecessors[index]?.size === 0);
}

function earliest(lines: readonly LogLine[], candidates: readonly number[]): number | undefined {
  const timeOf = (index: number) => lines[index]?.time ?? '';
  return [...candidates].sort((left, right) => (timeOf(left) < timeOf(right) ? -1 : 1))[0];
}

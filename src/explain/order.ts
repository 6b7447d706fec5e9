import type { LogLine } from './log-line';

/**
 * Orders lines so that each process's own order holds and a turn stands behind the one that it
 * continues; hosts' clocks decide only between lines that nothing else orders.
 */
export function orderByCause(lines: readonly LogLine[]): readonly LogLine[] {
  const waits = lines.map((_, index) => new Set(causesOf(lines, index)));
  const left = new Set(lines.keys());
  const ordered: LogLine[] = [];
  while (left.size > 0) {
    const next = earliest(lines, free(left, waits)) ?? earliest(lines, [...left]);
    if (next === undefined) break;
    left.delete(next);
    for (const wait of waits) wait.delete(next);
    const line = lines[next];
    if (line !== undefined) ordered.push(line);
  }
  return ordered;
}

/** Lines that must stand before one: the one before it in its process, and the turn it continues. */
function causesOf(lines: readonly LogLine[], index: number): readonly number[] {
  const line = lines[index];
  const before = lines.slice(0, index).findLastIndex(({ host }) => host === line?.host);
  const continued = lines.findIndex(
    ({ request }) => request !== undefined && request === line?.previous,
  );
  return [before, continued].filter((cause) => cause >= 0 && cause !== index);
}

function free(left: ReadonlySet<number>, waits: readonly ReadonlySet<number>[]): number[] {
  return [...left].filter((index) => waits[index]?.size === 0);
}

function earliest(lines: readonly LogLine[], candidates: readonly number[]): number | undefined {
  const timeOf = (index: number) => lines[index]?.time ?? '';
  return [...candidates].sort((left, right) => (timeOf(left) < timeOf(right) ? -1 : 1))[0];
}

import { MultiProcessSystem } from '../scripts/separate/system';
import { SystemClock, delay } from '../src/core';
import { roundToThousandths } from './measurement';
import { processorSeconds, residentMegabytes, transferredBytes } from './processes';

const WINDOW_MILLISECONDS = 5000;
const SETTLE_MILLISECONDS = 1500;

/** Resource usage of three idle control hosts for each number of program groups. */
export async function benchGroups(sizes: readonly number[]): Promise<object> {
  const results: object[] = [];
  for (const programGroups of sizes) results.push(await measure(programGroups));
  return { results };
}

async function measure(programGroups: number): Promise<object> {
  const system = await MultiProcessSystem.start({ entries: 1, engines: 1, programGroups });
  const clock = new SystemClock();
  await delay(clock, SETTLE_MILLISECONDS);
  const children = system.children.filter((child) => child.name.startsWith('control'));
  const read = () =>
    children.map(({ pid }) => ({ seconds: processorSeconds(pid), bytes: transferredBytes(pid) }));
  const before = read();
  await delay(clock, WINDOW_MILLISECONDS);
  const after = read();
  const seconds = WINDOW_MILLISECONDS / 1000;
  const hosts = children.map(({ name, pid }, index) => ({
    name,
    corePercent: roundToThousandths(difference(before, after, index, 'seconds') / seconds) * 100,
    bytesPerSecond: Math.round(difference(before, after, index, 'bytes') / seconds),
    residentMegabytes: roundToThousandths(residentMegabytes(pid)),
  }));
  await system.stop();
  return { programGroups, hosts };
}

type ResourceUsage = Readonly<Record<'seconds' | 'bytes', number>>;

function difference(
  before: readonly ResourceUsage[],
  after: readonly ResourceUsage[],
  index: number,
  key: keyof ResourceUsage,
): number {
  return (after[index]?.[key] ?? 0) - (before[index]?.[key] ?? 0);
}

import { benchAppend } from './append';
import { benchFailover } from './failover';
import { benchFanOut } from './fan-out';
import { printLine } from './measurement';
import { benchGroups } from './groups';
import { benchRestart } from './restart';

export interface ControlBenchOptions {
  readonly calls: number;
  readonly kills: number;
  readonly nodes: readonly number[];
  readonly groups: readonly number[];
  readonly programs: readonly number[];
  /** Runs only the parts whose names contain this text. */
  readonly part: string;
}

const CONFIGURATION_CHANGES = 10;

/** Benchmarks the replicated control state; prints one JSON line per part. */
export async function benchControl(options: ControlBenchOptions): Promise<void> {
  const { calls, kills, nodes, groups, programs } = options;
  const parts: readonly (readonly [string, () => Promise<object>])[] = [
    ['append', () => benchAppend(calls)],
    ['groups', () => benchGroups(groups)],
    ['failover', () => benchFailover(kills)],
    ['fan-out', () => benchFanOut(nodes, CONFIGURATION_CHANGES)],
    ['restart', () => benchRestart(programs)],
  ];
  for (const [part, run] of parts) {
    if (part.includes(options.part)) printLine({ bench: 'control', part, ...(await run()) });
  }
}

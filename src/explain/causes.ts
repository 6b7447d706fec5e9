import type { LogLine } from './log-line';
import { orderByCause } from './order';

/** Why programs did not end in time, each with the number of programs. */
export interface CauseTable {
  readonly programs: number;
  /** Most frequent first. */
  readonly causes: readonly Cause[];
}

export interface Cause {
  readonly cause: string;
  readonly programs: number;
}

/** Share of a late program's time that one phase must take to be named as its cause. */
const MAIN_SHARE = 0.35;

/** Counts the programs whose last request failed, or ended after the program's time, by cause. */
export function countCauses(lines: readonly LogLine[]): CauseTable {
  const byProgram = groupByProgram(lines);
  const counts = new Map<string, number>();
  for (const requests of byProgram.values()) {
    const cause = causeOf(orderByCause(requests));
    if (cause !== undefined) counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  const causes = [...counts].map(([cause, programs]) => ({ cause, programs }));
  return {
    programs: byProgram.size,
    causes: causes.sort((left, right) => right.programs - left.programs),
  };
}

function groupByProgram(lines: readonly LogLine[]): ReadonlyMap<string, readonly LogLine[]> {
  const groups = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.event !== 'request' || line.program === undefined) continue;
    const group = groups.get(line.program) ?? [];
    group.push(line);
    groups.set(line.program, group);
  }
  return groups;
}

/** Why a program did not end in time; nothing if it did, as far as the logs tell. */
function causeOf(requests: readonly LogLine[]): string | undefined {
  const last = requests.at(-1);
  if (last === undefined || last.status === BUDGET_SPENT) return undefined;
  const failure = failureOf(last);
  if (failure !== undefined) return failure;
  const left = (last.programMilliseconds ?? Infinity) - (last.milliseconds ?? 0);
  return left < 0 ? `late: ${mainPhase(requests)}` : undefined;
}

/** The budget ends programs that would go on for ever. */
const BUDGET_SPENT = 402;

const SERVER_ERROR = 500;

function failureOf({ outcome, status, code, decisions }: LogLine): string | undefined {
  if (outcome === 'refused') return `refused: ${code ?? 'unknown'}`;
  if (outcome === 'gone') return 'the caller left';
  if (outcome === 'broken-off') {
    const reason = decisions?.findLast((decision) => decision.reason !== undefined)?.reason;
    return `broken off: ${reason ?? 'the turn could not be kept'}`;
  }
  return (status ?? 0) >= SERVER_ERROR ? `a target answered ${status ?? 0}` : undefined;
}

/** Where a late program's time went, if one phase stands out. */
function mainPhase(requests: readonly LogLine[]): string {
  const phases = new Map<string, number>();
  const add = (phase: string, milliseconds: number) => {
    phases.set(phase, (phases.get(phase) ?? 0) + milliseconds);
  };
  for (const request of requests) {
    const { kind, milliseconds = 0, beganMilliseconds = milliseconds, decisions = [] } = request;
    if (failureOf(request) !== undefined) add('tries that failed', milliseconds);
    else if (kind !== 'stream') add('calls of plain services', milliseconds);
    else {
      const prepared = decisions.find(({ step }) => step === 'prepare')?.milliseconds ?? 0;
      add('chain and budget', prepared);
      add('wait for the first event', Math.max(0, beganMilliseconds - prepared));
      add('events', milliseconds - beganMilliseconds);
    }
  }
  const total = [...phases.values()].reduce((sum, value) => sum + value, 0);
  const [main] = [...phases].sort(([, left], [, right]) => right - left);
  return main !== undefined && main[1] > total * MAIN_SHARE ? main[0] : 'no single phase';
}

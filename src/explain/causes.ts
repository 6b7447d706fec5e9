import { teamScopedId } from '../teams';
import type { LogLine } from './log-line';
import { orderByCause } from './order';

/** Why programs did not end in time. */
export interface CauseTable {
  readonly programs: number;
  /** Most costly first. */
  readonly causes: readonly Cause[];
  /** Those spans of time in which programs began that did not end in time; in order. */
  readonly windows: readonly CauseWindow[];
}

export interface Cause {
  readonly cause: string;
  readonly programs: number;
  /** Part of the worth of all programs that was lost by it, 0 to 1; worth goes by a program's time. */
  readonly share: number;
}

/** Programs that began in one span of time. */
export interface CauseWindow {
  /** Seconds from the first line to the beginning of the span. */
  readonly from: number;
  readonly programs: number;
  readonly causes: readonly Cause[];
}

/** How one program came out. */
interface Verdict {
  /** Time of day at which its first request arrived; milliseconds. */
  readonly beganAt: number;
  /** Its whole time as its first request states it; 1 if none does. Milliseconds. */
  readonly worth: number;
  /** Nothing if it ended in time, as far as the logs tell. */
  readonly cause: string | undefined;
}

/** Share of a late program's time that one phase must take to be named as its cause. */
const MAIN_SHARE = 0.35;

/** Length of a window; milliseconds. */
const WINDOW_MILLISECONDS = 2000;

/** Part of a program's worth that is lost where it ends late rather than not at all. */
const LATE_LOSS = 0.7;

/**
 * Sums up the programs whose last request failed, or ended after the program's time, by cause and by
 * the time at which they began.
 */
export function countCauses(lines: readonly LogLine[]): CauseTable {
  const verdicts = [...groupByProgram(lines).values()].map(judge);
  const worth = verdicts.reduce((sum, verdict) => sum + verdict.worth, 0);
  return {
    programs: verdicts.length,
    causes: sumUp(verdicts, worth),
    windows: sumUpWindows(verdicts, worth),
  };
}

function judge(requests: readonly LogLine[]): Verdict {
  const ordered = orderByCause(requests);
  const [first] = ordered;
  const endedAt = Date.parse(first?.time ?? '');
  return {
    beganAt: endedAt - (first?.milliseconds ?? 0),
    worth: first?.programMilliseconds ?? 1,
    cause: causeOf(ordered),
  };
}

function sumUpWindows(verdicts: readonly Verdict[], worth: number): readonly CauseWindow[] {
  const start = Math.min(...verdicts.map(({ beganAt }) => beganAt));
  const windows = new Map<number, Verdict[]>();
  for (const verdict of verdicts) {
    const index = Math.floor((verdict.beganAt - start) / WINDOW_MILLISECONDS);
    windows.set(index, [...(windows.get(index) ?? []), verdict]);
  }
  return [...windows]
    .sort(([left], [right]) => left - right)
    .map(([index, members]) => ({
      from: (index * WINDOW_MILLISECONDS) / 1000,
      programs: members.length,
      causes: sumUp(members, worth),
    }))
    .filter(({ causes }) => causes.length > 0);
}

function sumUp(verdicts: readonly Verdict[], worth: number): readonly Cause[] {
  const sums = new Map<string, { programs: number; lost: number }>();
  for (const { cause, worth: own } of verdicts) {
    if (cause === undefined) continue;
    const sum = sums.get(cause) ?? { programs: 0, lost: 0 };
    sums.set(cause, sum);
    sum.programs += 1;
    sum.lost += cause.startsWith(LATE) ? own * LATE_LOSS : own;
  }
  return [...sums]
    .sort(([, left], [, right]) => right.lost - left.lost)
    .map(([cause, { programs, lost }]) => ({ cause, programs, share: round(lost / worth) }));
}

/** To a hundredth of a percent. */
function round(share: number): number {
  return Math.round(share * 10_000) / 10_000;
}

/** How the causes of late programs begin. */
const LATE = 'late: ';

function groupByProgram(lines: readonly LogLine[]): ReadonlyMap<string, readonly LogLine[]> {
  const groups = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.event !== 'request' || line.program === undefined) continue;
    const program = teamScopedId(
      line.team === undefined ? undefined : { name: line.team },
      line.program,
    );
    const group = groups.get(program) ?? [];
    group.push(line);
    groups.set(program, group);
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
  return left < 0 ? LATE + mainPhase(requests) : undefined;
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

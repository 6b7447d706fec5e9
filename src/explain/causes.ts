import { teamScopedId } from '../teams';
import type { LogLine } from './log-line';
import { sortCausally } from './causal-order';

/** Summary of the programs that failed or missed their deadline. */
export interface CauseTable {
  readonly programs: number;
  /** Sorted by `share`, largest first. */
  readonly causes: readonly Cause[];
  /** Time windows in which at least one of these programs started, in order of time. */
  readonly windows: readonly CauseWindow[];
}

export interface Cause {
  readonly cause: string;
  readonly programs: number;
  /** Lost fraction of the weight of all programs, 0 to 1; a program's weight is its time limit. */
  readonly share: number;
}

/** Programs that started in one time window. */
export interface CauseWindow {
  /** Seconds from the start of the first program to the start of the window. */
  readonly from: number;
  readonly programs: number;
  readonly causes: readonly Cause[];
}

interface ProgramResult {
  /** Arrival of the first request, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Time limit of the program in milliseconds, from its first request; 1 if that has none. */
  readonly weight: number;
  /** Undefined if the logs show neither a failure nor a missed deadline. */
  readonly cause: string | undefined;
}

/** Fraction of a late program's time above which a phase is reported as the cause. */
const DOMINANT_SHARE = 0.35;

const WINDOW_MILLISECONDS = 2000;

/** Fraction of the weight that is lost if a program ends late; a failed program loses all. */
const LATE_LOSS_FRACTION = 0.7;

/**
 * Groups the programs whose last request failed or ended after the program's deadline, by cause and
 * by start time.
 */
export function countCauses(lines: readonly LogLine[]): CauseTable {
  const results = [...groupByProgram(lines).values()].map(evaluateProgram);
  const totalWeight = results.reduce((sum, result) => sum + result.weight, 0);
  return {
    programs: results.length,
    causes: aggregateCauses(results, totalWeight),
    windows: aggregateWindows(results, totalWeight),
  };
}

function evaluateProgram(requests: readonly LogLine[]): ProgramResult {
  const ordered = sortCausally(requests);
  const [first] = ordered;
  const endedAt = Date.parse(first?.time ?? '');
  return {
    startedAt: endedAt - (first?.milliseconds ?? 0),
    weight: first?.programMilliseconds ?? 1,
    cause: causeOf(ordered),
  };
}

function aggregateWindows(
  results: readonly ProgramResult[],
  totalWeight: number,
): readonly CauseWindow[] {
  const start = Math.min(...results.map(({ startedAt }) => startedAt));
  const windows = new Map<number, ProgramResult[]>();
  for (const result of results) {
    const index = Math.floor((result.startedAt - start) / WINDOW_MILLISECONDS);
    windows.set(index, [...(windows.get(index) ?? []), result]);
  }
  return [...windows]
    .sort(([left], [right]) => left - right)
    .map(([index, members]) => ({
      from: (index * WINDOW_MILLISECONDS) / 1000,
      programs: members.length,
      causes: aggregateCauses(members, totalWeight),
    }))
    .filter(({ causes }) => causes.length > 0);
}

function aggregateCauses(results: readonly ProgramResult[], totalWeight: number): readonly Cause[] {
  const sums = new Map<string, { programs: number; lost: number }>();
  for (const { cause, weight } of results) {
    if (cause === undefined) continue;
    const sum = sums.get(cause) ?? { programs: 0, lost: 0 };
    sums.set(cause, sum);
    sum.programs += 1;
    sum.lost += cause.startsWith(LATE_PREFIX) ? weight * LATE_LOSS_FRACTION : weight;
  }
  return [...sums]
    .sort(([, left], [, right]) => right.lost - left.lost)
    .map(([cause, { programs, lost }]) => ({ cause, programs, share: round(lost / totalWeight) }));
}

/** Rounds to four decimal places. */
function round(share: number): number {
  return Math.round(share * 10_000) / 10_000;
}

const LATE_PREFIX = 'late: ';

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

function causeOf(requests: readonly LogLine[]): string | undefined {
  const last = requests.at(-1);
  if (last === undefined || last.status === BUDGET_EXHAUSTED_STATUS) return undefined;
  const failure = failureOf(last);
  if (failure !== undefined) return failure;
  const remaining = (last.programMilliseconds ?? Infinity) - (last.milliseconds ?? 0);
  return remaining < 0 ? LATE_PREFIX + dominantPhase(requests) : undefined;
}

/** Status of a refusal because of an exhausted budget, which counts as a regular end. */
const BUDGET_EXHAUSTED_STATUS = 402;

const LOWEST_SERVER_ERROR_STATUS = 500;

function failureOf({ outcome, status, code, decisions }: LogLine): string | undefined {
  if (outcome === 'refused') return `refused: ${code ?? 'unknown'}`;
  if (outcome === 'gone') return 'caller disconnected';
  if (outcome === 'broken-off') {
    const reason = decisions?.findLast((decision) => decision.reason !== undefined)?.reason;
    return `aborted: ${reason ?? 'the turn could not be recorded'}`;
  }
  return (status ?? 0) >= LOWEST_SERVER_ERROR_STATUS
    ? `target responded with status ${status ?? 0}`
    : undefined;
}

/** The phase that took the largest part of a late program's time, if it is dominant. */
function dominantPhase(requests: readonly LogLine[]): string {
  const phases = new Map<string, number>();
  const add = (phase: string, milliseconds: number) => {
    phases.set(phase, (phases.get(phase) ?? 0) + milliseconds);
  };
  for (const request of requests) {
    const { kind, milliseconds = 0, beganMilliseconds = milliseconds, decisions = [] } = request;
    if (failureOf(request) !== undefined) add('failed attempts', milliseconds);
    else if (kind !== 'stream') add('plain service calls', milliseconds);
    else {
      const prepared = decisions.find(({ step }) => step === 'prepare')?.milliseconds ?? 0;
      add('history and budget', prepared);
      add('time to first event', Math.max(0, beganMilliseconds - prepared));
      add('streaming', milliseconds - beganMilliseconds);
    }
  }
  const total = [...phases.values()].reduce((sum, value) => sum + value, 0);
  const [main] = [...phases].sort(([, left], [, right]) => right - left);
  return main !== undefined && main[1] > total * DOMINANT_SHARE ? main[0] : 'no dominant phase';
}

import type { CreateProgram, EndProgram, ResolvedKind } from './commands';
import { createSpending, settle } from './spending';
import { type Created, type Ended, type Refused, refuse, viewProgram } from './outcomes';
import type { EndReason, Program } from './records';
import type { ProgramTables } from './program-tables';

/** Log index of a command, and its wall time in milliseconds. */
export interface CommandContext {
  readonly index: number;
  readonly at: number;
}

/** Idempotent: a repeated command with the same id and arguments gets the same outcome. */
export function createProgram(
  tables: ProgramTables,
  input: CreateProgram,
  kind: ResolvedKind,
  at: number,
): Created | Refused {
  const existing = tables.programs.get(input.id);
  if (existing !== undefined) return describeExisting(tables, existing, input);
  const parent = input.parent === undefined ? undefined : tables.programs.get(input.parent);
  const missing = input.parent !== undefined && parent?.team !== input.team;
  if (missing) return refuse('unknown-parent', `no program "${input.parent ?? ''}"`);
  if (parent?.endReason !== undefined) {
    return refuse('program-ended', `parent "${parent.id}" ended: ${parent.endReason}`);
  }
  const program: Program = {
    id: input.id,
    root: parent?.root ?? input.id,
    parent: parent?.id,
    team: input.team,
    kind: kind.name,
    services: kind.services,
    turnLimit: kind.turnLimit,
    idleMilliseconds: kind.idleMilliseconds,
    createdAt: at,
    deadlineAt: Math.min(at + kind.lifeMilliseconds, parent?.deadlineAt ?? Infinity),
    lastActivityAt: at,
    endReason: undefined,
    endedAt: undefined,
    messageCount: 0,
    digest: '',
    contextTokens: 0,
    steps: new Map(),
    nextSequence: 1,
    keys: new Map(),
    lastTarget: undefined,
    lastTurnEndedAt: undefined,
    holders: [],
  };
  tables.putProgram(program);
  if (parent === undefined) tables.spending.set(program.id, createSpending(kind));
  else
    tables.children.set(
      parent.id,
      new Set([...(tables.children.get(parent.id) ?? []), program.id]),
    );
  return { outcome: 'created', program: viewProgram(program, tables.spendingOf(program)) };
}

function describeExisting(
  tables: ProgramTables,
  program: Program,
  input: CreateProgram,
): Created | Refused {
  const same =
    program.team === input.team &&
    program.parent === input.parent &&
    (input.kind === undefined || input.kind === program.kind);
  if (!same) return refuse('program-exists', `program id "${input.id}" is taken`);
  return { outcome: 'created', program: viewProgram(program, tables.spendingOf(program)) };
}

/** Ends a program and its descendants, and orders the release of their caches. */
export function endProgram(
  tables: ProgramTables,
  input: EndProgram,
  context: CommandContext,
): Ended | Refused {
  const program = tables.programs.get(input.program);
  if (program === undefined) return refuse('unknown-program', `no program "${input.program}"`);
  if (program.endReason === undefined) endLiveProgram(tables, program, input.reason, context);
  const ended = tables.programs.get(input.program) ?? program;
  return { outcome: 'ended', program: viewProgram(ended, tables.spendingOf(ended)) };
}

/** Ends a live program, after its live descendants. */
export function endLiveProgram(
  tables: ProgramTables,
  program: Program,
  reason: EndReason,
  context: CommandContext,
): void {
  for (const childId of tables.children.get(program.id) ?? []) {
    const child = tables.programs.get(childId);
    if (child?.endReason === undefined && child !== undefined) {
      endLiveProgram(tables, child, 'parent-ended', context);
    }
  }
  tables.children.delete(program.id);
  settleRunningStep(tables, program);
  orderCacheRelease(tables, program.id, program.holders, context);
  const steps = new Map([...program.steps].filter(([, step]) => step.state !== 'running'));
  tables.putProgram({
    ...program,
    endReason: reason,
    endedAt: context.at,
    steps,
    messageCount: 0,
    digest: '',
    holders: [],
  });
  const siblings = program.parent === undefined ? undefined : tables.children.get(program.parent);
  if (program.parent !== undefined && siblings !== undefined) {
    const remaining = [...siblings].filter((id) => id !== program.id);
    tables.children.set(program.parent, new Set(remaining));
  }
}

/**
 * Records targets that may have cached prompts of a program. They are ordered to release them when
 * the program ends, or immediately if it has already ended or been purged.
 */
export function recordCacheHolders(
  tables: ProgramTables,
  id: string,
  targets: readonly string[],
  context: CommandContext,
): void {
  const program = tables.programs.get(id);
  if (program === undefined || program.endReason !== undefined) {
    orderCacheRelease(tables, id, targets, context);
    return;
  }
  const holders = [...new Set([...program.holders, ...targets])];
  tables.putProgram({ ...program, holders });
}

function orderCacheRelease(
  tables: ProgramTables,
  program: string,
  targets: readonly string[],
  context: CommandContext,
): void {
  for (const target of targets) {
    const id = `${context.index}-${program}-${target}`;
    tables.orders.set(id, { id, target, kind: 'release-cache', program });
  }
}

/** The reservation of a running step counts as spent, since its engine may use all of it. */
function settleRunningStep(tables: ProgramTables, program: Program): void {
  const running = [...program.steps.values()].find((step) => step.state === 'running');
  if (running === undefined) return;
  const { reservedTokens } = running;
  const spending = settle(tables.spendingOf(program), reservedTokens, reservedTokens, 1);
  tables.spending.set(program.root, spending);
}

/** Purges ended programs, their descendants and their answers; ids of live programs are skipped. */
export function purgePrograms(tables: ProgramTables, ids: readonly string[]): void {
  const ended = new Set(ids.filter((id) => tables.programs.get(id)?.endReason !== undefined));
  for (const [id, program] of tables.programs) {
    if (ended.has(id) || ended.has(program.root)) purgeProgram(tables, program);
  }
  for (const id of ended) tables.spending.delete(id);
}

function purgeProgram(tables: ProgramTables, program: Program): void {
  tables.programs.delete(program.id);
  for (const step of program.steps.values()) {
    if (step.state === 'done') tables.contents.drop(step.content);
  }
}

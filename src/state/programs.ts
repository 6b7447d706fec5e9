import type { CreateProgram, EndProgram, KindInForce } from './commands';
import { openSpending, settle } from './budgets';
import { type Created, type Ended, type Refused, refuse, viewProgram } from './outcomes';
import type { EndReason, Program } from './records';
import type { Tables } from './tables';

/** The log index of a command and its wall time in milliseconds. */
export interface Applied {
  readonly index: number;
  readonly at: number;
}

/** Creates a program; a repeated command with the same id gets the same answer. */
export function createProgram(
  tables: Tables,
  input: CreateProgram,
  kind: KindInForce,
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
    holders: [],
  };
  tables.put(program);
  if (parent === undefined) tables.spending.set(program.id, openSpending(kind));
  else
    tables.children.set(
      parent.id,
      new Set([...(tables.children.get(parent.id) ?? []), program.id]),
    );
  return { outcome: 'created', program: viewProgram(program, tables.spendingOf(program)) };
}

function describeExisting(
  tables: Tables,
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

/** Ends a program and its sub-agents, and orders its cache released. */
export function endProgram(tables: Tables, input: EndProgram, applied: Applied): Ended | Refused {
  const program = tables.programs.get(input.program);
  if (program === undefined) return refuse('unknown-program', `no program "${input.program}"`);
  if (program.endReason === undefined) endOne(tables, program, input.reason, applied);
  const ended = tables.programs.get(input.program) ?? program;
  return { outcome: 'ended', program: viewProgram(ended, tables.spendingOf(ended)) };
}

/** Ends one live program, its sub-agents first. */
export function endOne(
  tables: Tables,
  program: Program,
  reason: EndReason,
  applied: Applied,
): void {
  for (const childId of tables.children.get(program.id) ?? []) {
    const child = tables.programs.get(childId);
    if (child?.endReason === undefined && child !== undefined) {
      endOne(tables, child, 'parent-ended', applied);
    }
  }
  tables.children.delete(program.id);
  releaseRunningStep(tables, program);
  orderRelease(tables, program.id, program.holders, applied);
  const steps = new Map([...program.steps].filter(([, step]) => step.state !== 'running'));
  tables.put({
    ...program,
    endReason: reason,
    endedAt: applied.at,
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
 * Notes targets that may hold cache of a program: they are told when it ends, or at once if it has
 * ended or was forgotten meanwhile.
 */
export function noteHolders(
  tables: Tables,
  id: string,
  targets: readonly string[],
  applied: Applied,
): void {
  const program = tables.programs.get(id);
  if (program === undefined || program.endReason !== undefined) {
    orderRelease(tables, id, targets, applied);
    return;
  }
  const holders = [...new Set([...program.holders, ...targets])];
  tables.put({ ...program, holders });
}

function orderRelease(
  tables: Tables,
  program: string,
  targets: readonly string[],
  applied: Applied,
): void {
  for (const target of targets) {
    const id = `${applied.index}-${program}-${target}`;
    tables.orders.set(id, { id, target, kind: 'release-cache', program });
  }
}

/** What a step under way reserved counts as spent: its engine may have used all of it. */
function releaseRunningStep(tables: Tables, program: Program): void {
  const running = [...program.steps.values()].find((step) => step.state === 'running');
  if (running === undefined) return;
  const { reservedTokens } = running;
  const spending = settle(tables.spendingOf(program), reservedTokens, reservedTokens, 1);
  tables.spending.set(program.root, spending);
}

/** Drops ended programs and their answers, with the sub-agents of each; a live one stays. */
export function forgetPrograms(tables: Tables, ids: readonly string[]): void {
  const ended = new Set(ids.filter((id) => tables.programs.get(id)?.endReason !== undefined));
  for (const [id, program] of tables.programs) {
    if (ended.has(id) || ended.has(program.root)) forgetOne(tables, program);
  }
  for (const id of ended) tables.spending.delete(id);
}

function forgetOne(tables: Tables, program: Program): void {
  tables.programs.delete(program.id);
  for (const step of program.steps.values()) {
    if (step.state === 'done') tables.contents.drop(step.content);
  }
}

import { digestPrefixes } from '../core';
import { encodeStepContent } from './contents';
import { reserve, settle } from './budgets';
import type { AbandonStep, BeginStep, Command, CompleteStep, ResolveStep } from './commands';
import { type BeginDecision, type CompleteDecision, refuse } from './outcomes';
import { type Applied, createProgram, endOne, noteHolders } from './programs';
import type { Answer, Program, RunningStep, Spending, Step } from './records';
import type { Tables } from './tables';

/**
 * Tells what would become of a step, without changing anything. `displaces` names a running
 * attempt whose entry is dead.
 */
export function evaluateBegin(
  tables: Tables,
  input: BeginStep,
  displaces: string | undefined,
): BeginDecision {
  const program = tables.programs.get(input.program);
  if (program?.team !== input.team) {
    return refuse('unknown-program', `no program "${input.program}"`);
  }
  const sequence = sequenceOf(program, input);
  const step = program.steps.get(sequence);
  if (step !== undefined) return evaluateExisting(tables, program, step, input, displaces);
  return evaluateNew(tables, program, sequence, input);
}

/** The step's place: as numbered, as begun before with the same key, or the next one. */
export function sequenceOf(program: Program, input: BeginStep): number {
  const known = input.key === undefined ? undefined : program.keys.get(input.key);
  return input.sequence ?? known ?? program.nextSequence;
}

function evaluateExisting(
  tables: Tables,
  program: Program,
  step: Step,
  input: BeginStep,
  displaces: string | undefined,
): BeginDecision {
  const named =
    input.sequence !== undefined || (input.key !== undefined && program.keys.has(input.key));
  if (named && step.requestDigest !== input.requestDigest) {
    const message = `sequence ${step.sequence} was used for another request`;
    return refuse('sequence-conflict', message);
  }
  if (step.state === 'unknown') return { outcome: 'unknown' };
  if (step.state === 'done') {
    return { outcome: 'replay', sequence: step.sequence, content: step.content };
  }
  if (step.attempt === input.attempt) return describeRun(program, step.sequence, input);
  if (displaces !== step.attempt) return { outcome: 'wait', reason: 'step-running' };
  if (step.claim === undefined) {
    return checkRun(settledAsSpent(tables, program, step), program, step.sequence, input);
  }
  return { outcome: 'settle', sequence: step.sequence, attempt: step.attempt, claim: step.claim };
}

function evaluateNew(
  tables: Tables,
  program: Program,
  sequence: number,
  input: BeginStep,
): BeginDecision {
  if (program.endReason !== undefined) {
    return refuse('program-ended', `program "${program.id}" ended: ${program.endReason}`);
  }
  if (!program.services.includes(input.service)) {
    const message = `a program of kind "${program.kind}" may not call "${input.service}"`;
    return refuse('service-not-allowed', message);
  }
  if (sequence > program.turnLimit) {
    return refuse('turn-limit', `the program's limit is ${program.turnLimit} turns and calls`);
  }
  if (sequence > program.nextSequence) return { outcome: 'wait', reason: 'earlier-step-missing' };
  return checkRun(tables.spendingOf(program), program, sequence, input);
}

function checkRun(
  spending: Spending,
  program: Program,
  sequence: number,
  input: BeginStep,
): BeginDecision {
  if (!extendsHistory(program, input)) {
    const message = `the list does not extend the ${program.messageCount} stored messages`;
    return refuse('history-mismatch', message);
  }
  if (reserve(spending, reservationOf(program, input)) === undefined) {
    const left = spending.tokenLimit - spending.spentTokens - spending.reservedTokens;
    const calls = spending.callLimit - spending.spentCalls - spending.reservedCalls;
    const message = `needs up to ${reservationOf(program, input)} tokens and a call; ${left} tokens and ${calls} calls are left`;
    return refuse('budget-exceeded', message);
  }
  return describeRun(program, sequence, input);
}

/** Tokens that a turn may use at most: the known history, what is new, and the output. */
function reservationOf(program: Program, input: BeginStep): number {
  const context = input.history.kind === 'none' ? 0 : program.contextTokens;
  return context + input.newTokens + input.outputTokens;
}

function extendsHistory(program: Program, input: BeginStep): boolean {
  if (input.history.kind !== 'whole') return true;
  const stored = program.messageCount;
  if (stored === 0) return true;
  return input.history.digests[stored - 1] === program.digest;
}

function describeRun(program: Program, sequence: number, input: BeginStep): BeginDecision {
  return {
    outcome: 'run',
    sequence,
    historyCount: program.messageCount,
    history: input.history.kind === 'append' ? historyContents(program) : [],
    contextTokens: program.contextTokens,
    lastTarget: program.lastTarget,
    programDeadlineAt: program.deadlineAt,
  };
}

/** Starts a step if {@link evaluateBegin} lets it run. */
export function beginStep(
  tables: Tables,
  { input, displaces, kindInForce, at }: Extract<Command, { kind: 'begin-step' }>,
): BeginDecision {
  if (input.create !== undefined && kindInForce !== undefined) {
    const created = createProgram(tables, input.create, kindInForce, at);
    if (created.outcome === 'refused') return created;
  }
  const outcome = evaluateBegin(tables, input, displaces);
  if (outcome.outcome !== 'run') return outcome;
  const program = existingProgram(tables, input.program);
  const previous = program.steps.get(outcome.sequence);
  if (previous?.attempt === input.attempt) return outcome;
  if (previous?.state === 'running') {
    tables.spending.set(program.root, settledAsSpent(tables, program, previous));
  }
  const reservedTokens = reservationOf(program, input);
  const spending = reserve(tables.spendingOf(program), reservedTokens);
  if (spending === undefined) throw new Error('A step was let run past its budget');
  tables.spending.set(program.root, spending);
  const step: RunningStep = {
    state: 'running',
    sequence: outcome.sequence,
    requestDigest: input.requestDigest,
    attempt: input.attempt,
    entry: input.entry,
    claim: input.claim,
    reservedTokens,
  };
  const keys = new Map(program.keys);
  if (input.key !== undefined) keys.set(input.key, outcome.sequence);
  putStep(tables, { ...program, keys, lastActivityAt: at }, step);
  return outcome;
}

/** The dead attempt's whole reservation counts as spent, since its engine may have used it. */
function settledAsSpent(tables: Tables, program: Program, step: RunningStep): Spending {
  return settle(tables.spendingOf(program), step.reservedTokens, step.reservedTokens, 1);
}

/** Stores an answer; an attempt that was displaced changes nothing. */
export function completeStep(
  tables: Tables,
  input: CompleteStep,
  applied: Applied,
): CompleteDecision {
  const program = tables.programs.get(input.program);
  const step = program?.steps.get(input.sequence);
  if (step?.state === 'done' && step.attempt === input.attempt) return { outcome: 'recorded' };
  if (program === undefined || step?.state !== 'running' || step.attempt !== input.attempt) {
    if (input.usage !== undefined) noteHolders(tables, input.program, [input.target], applied);
    return { outcome: 'superseded', content: step?.state === 'done' ? step.content : undefined };
  }
  const used = usedTokens(input);
  const spending = settle(tables.spendingOf(program), step.reservedTokens, used, 1);
  tables.spending.set(program.root, spending);
  const engineTurn = input.usage !== undefined;
  const updated: Program = {
    ...program,
    lastActivityAt: applied.at,
    messageCount: program.messageCount + input.messages.length,
    digest: digestPrefixes(input.messages, program.digest).at(-1) ?? program.digest,
    contextTokens: engineTurn ? used : program.contextTokens,
    nextSequence: Math.max(program.nextSequence, input.sequence + 1),
    lastTarget: engineTurn ? input.target : program.lastTarget,
  };
  const { sequence, requestDigest, attempt } = step;
  putStep(tables, updated, {
    state: 'done',
    sequence,
    requestDigest,
    attempt,
    content: tables.contents.put(encodeStepContent(input.messages, input.answer)),
  });
  if (engineTurn) noteHolders(tables, program.id, [input.target], applied);
  if (input.end) endOne(tables, existingProgram(tables, program.id), 'completed', applied);
  return { outcome: 'recorded' };
}

function usedTokens(input: CompleteStep): number {
  return (input.usage?.promptTokens ?? 0) + (input.usage?.completionTokens ?? 0);
}

/** Takes a running step back, so that the same sequence can be begun again. */
export function abandonStep(tables: Tables, input: AbandonStep, applied: Applied): void {
  noteHolders(tables, input.program, input.holders, applied);
  const program = tables.programs.get(input.program);
  const step = program?.steps.get(input.sequence);
  if (program === undefined || step?.state !== 'running' || step.attempt !== input.attempt) return;
  const { reservedTokens } = step;
  const spending = tables.spendingOf(program);
  const settled = input.spent
    ? settle(spending, reservedTokens, reservedTokens, 1)
    : settle(spending, reservedTokens, 0, 0);
  tables.spending.set(program.root, settled);
  const steps = new Map(program.steps);
  steps.delete(input.sequence);
  tables.put({ ...program, steps, lastActivityAt: applied.at });
}

/** Records what became of an attempt whose entry died. */
export function resolveStep(tables: Tables, input: ResolveStep, applied: Applied): void {
  const program = tables.programs.get(input.program);
  const step = program?.steps.get(input.sequence);
  if (program === undefined || step?.state !== 'running' || step.attempt !== input.attempt) return;
  if (input.finding.kind === 'not-run') {
    abandonStep(tables, { ...input, spent: false, holders: [] }, applied);
    return;
  }
  const spending = settle(tables.spendingOf(program), step.reservedTokens, 0, 1);
  tables.spending.set(program.root, spending);
  const { sequence, requestDigest, attempt } = step;
  const base = { sequence, requestDigest, attempt };
  const finding: Step =
    input.finding.kind === 'answered'
      ? { ...base, state: 'done', content: putAnswer(tables, input.finding.answer) }
      : { ...base, state: 'unknown' };
  const nextSequence = Math.max(program.nextSequence, sequence + 1);
  putStep(tables, { ...program, lastActivityAt: applied.at, nextSequence }, finding);
}

function putAnswer(tables: Tables, answer: Answer): number {
  return tables.contents.put(encodeStepContent([], answer));
}

/** Contents of the done steps, whose messages make up the history in this order. */
function historyContents(program: Program): readonly number[] {
  return [...program.steps.values()]
    .sort((left, right) => left.sequence - right.sequence)
    .flatMap((step) => (step.state === 'done' ? [step.content] : []));
}

function putStep(tables: Tables, program: Program, step: Step): void {
  const steps = new Map(program.steps);
  steps.set(step.sequence, step);
  tables.put({ ...program, steps });
}

function existingProgram(tables: Tables, id: string): Program {
  const program = tables.programs.get(id);
  if (program === undefined) throw new Error(`No program ${id}`);
  return program;
}

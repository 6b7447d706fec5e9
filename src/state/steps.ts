import { digestPrefixes } from '../core';
import { encodeStepContent } from './step-contents';
import { reserve, settle } from './spending';
import type { AbandonStep, BeginStep, Command, CompleteStep, ResolveStep } from './commands';
import { type BeginDecision, type CompleteDecision, refuse } from './outcomes';
import { type CommandContext, createProgram, endLiveProgram, recordCacheHolders } from './programs';
import type { Answer, Program, RunningStep, Spending, Step } from './records';
import type { ProgramTables } from './program-tables';

/**
 * Decides the outcome of beginning a step, without changing state. `displacedAttempt` is a running
 * attempt whose entry has ended.
 */
export function evaluateBegin(
  tables: ProgramTables,
  input: BeginStep,
  displacedAttempt: string | undefined,
): BeginDecision {
  const program = tables.programs.get(input.program);
  if (program?.team !== input.team) {
    return refuse('unknown-program', `no program "${input.program}"`);
  }
  const sequence = sequenceOf(program, input);
  const step = program.steps.get(sequence);
  if (step !== undefined) return evaluateExisting(tables, program, step, input, displacedAttempt);
  return evaluateNew(tables, program, sequence, input);
}

/** The given sequence, else that of an earlier step with the same key, else the next sequence. */
export function sequenceOf(program: Program, input: BeginStep): number {
  const known = input.key === undefined ? undefined : program.keys.get(input.key);
  return input.sequence ?? known ?? program.nextSequence;
}

function evaluateExisting(
  tables: ProgramTables,
  program: Program,
  step: Step,
  input: BeginStep,
  displacedAttempt: string | undefined,
): BeginDecision {
  const numberedByCaller =
    input.sequence !== undefined || (input.key !== undefined && program.keys.has(input.key));
  if (numberedByCaller && step.requestDigest !== input.requestDigest) {
    const message = `sequence ${step.sequence} was used for another request`;
    return refuse('sequence-conflict', message);
  }
  if (step.state === 'unknown') return { outcome: 'unknown' };
  if (step.state === 'done') {
    return { outcome: 'replay', sequence: step.sequence, content: step.content };
  }
  if (step.attempt === input.attempt) return runDecision(program, step.sequence, input);
  if (displacedAttempt !== step.attempt) return { outcome: 'wait', reason: 'step-running' };
  if (step.claim === undefined) {
    return checkRun(spendReservation(tables, program, step), program, step.sequence, input);
  }
  return { outcome: 'settle', sequence: step.sequence, attempt: step.attempt, claim: step.claim };
}

function evaluateNew(
  tables: ProgramTables,
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
    const tokensLeft = spending.tokenLimit - spending.spentTokens - spending.reservedTokens;
    const callsLeft = spending.callLimit - spending.spentCalls - spending.reservedCalls;
    const message = `needs up to ${reservationOf(program, input)} tokens and a call; ${tokensLeft} tokens and ${callsLeft} calls are left`;
    return refuse('budget-exceeded', message);
  }
  return runDecision(program, sequence, input);
}

/** Upper bound of a turn's tokens: stored history, new messages and output. */
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

function runDecision(program: Program, sequence: number, input: BeginStep): BeginDecision {
  return {
    outcome: 'run',
    sequence,
    historyCount: program.messageCount,
    history: input.history.kind === 'append' ? historyContents(program) : [],
    contextTokens: program.contextTokens,
    lastTarget: program.lastTarget,
    lastTurnEndedAt: program.lastTurnEndedAt,
    programDeadlineAt: program.deadlineAt,
  };
}

/** Starts a step if {@link evaluateBegin} decides `run`. */
export function beginStep(
  tables: ProgramTables,
  { input, displaces: displacedAttempt, kindInForce, at }: Extract<Command, { kind: 'begin-step' }>,
): BeginDecision {
  if (input.create !== undefined && kindInForce !== undefined) {
    const created = createProgram(tables, input.create, kindInForce, at);
    if (created.outcome === 'refused') return created;
  }
  const outcome = evaluateBegin(tables, input, displacedAttempt);
  if (outcome.outcome !== 'run') return outcome;
  const program = requireProgram(tables, input.program);
  const previous = program.steps.get(outcome.sequence);
  if (previous?.attempt === input.attempt) return outcome;
  if (previous?.state === 'running') {
    tables.spending.set(program.root, spendReservation(tables, program, previous));
  }
  const reservedTokens = reservationOf(program, input);
  const spending = reserve(tables.spendingOf(program), reservedTokens);
  if (spending === undefined) throw new Error('Step reservation exceeds the program budget');
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

/** Counts the reservation of a displaced attempt as spent, since its engine may have used it. */
function spendReservation(tables: ProgramTables, program: Program, step: RunningStep): Spending {
  return settle(tables.spendingOf(program), step.reservedTokens, step.reservedTokens, 1);
}

/** Stores an answer. An attempt that no longer runs only records its target as a cache holder. */
export function completeStep(
  tables: ProgramTables,
  input: CompleteStep,
  context: CommandContext,
): CompleteDecision {
  const program = tables.programs.get(input.program);
  const step = program?.steps.get(input.sequence);
  if (step?.state === 'done' && step.attempt === input.attempt) return { outcome: 'recorded' };
  if (program === undefined || step?.state !== 'running' || step.attempt !== input.attempt) {
    if (input.usage !== undefined)
      recordCacheHolders(tables, input.program, [input.target], context);
    return { outcome: 'superseded', content: step?.state === 'done' ? step.content : undefined };
  }
  const used = usedTokens(input);
  const spending = settle(tables.spendingOf(program), step.reservedTokens, used, 1);
  tables.spending.set(program.root, spending);
  const engineTurn = input.usage !== undefined;
  const updated: Program = {
    ...program,
    lastActivityAt: context.at,
    messageCount: program.messageCount + input.messages.length,
    digest: digestPrefixes(input.messages, program.digest).at(-1) ?? program.digest,
    contextTokens: engineTurn ? used : program.contextTokens,
    nextSequence: Math.max(program.nextSequence, input.sequence + 1),
    lastTarget: engineTurn ? input.target : program.lastTarget,
    lastTurnEndedAt: engineTurn ? context.at : program.lastTurnEndedAt,
  };
  const { sequence, requestDigest, attempt } = step;
  putStep(tables, updated, {
    state: 'done',
    sequence,
    requestDigest,
    attempt,
    content: tables.contents.put(encodeStepContent(input.messages, input.answer)),
  });
  if (engineTurn) recordCacheHolders(tables, program.id, [input.target], context);
  if (input.end) endLiveProgram(tables, requireProgram(tables, program.id), 'completed', context);
  return { outcome: 'recorded' };
}

function usedTokens(input: CompleteStep): number {
  return (input.usage?.promptTokens ?? 0) + (input.usage?.completionTokens ?? 0);
}

/** Removes a running step, so that its sequence can be begun again. */
export function abandonStep(
  tables: ProgramTables,
  input: AbandonStep,
  context: CommandContext,
): void {
  recordCacheHolders(tables, input.program, input.holders, context);
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
  tables.putProgram({ ...program, steps, lastActivityAt: context.at });
}

/** Records the outcome of an attempt whose entry has ended. */
export function resolveStep(
  tables: ProgramTables,
  input: ResolveStep,
  context: CommandContext,
): void {
  const program = tables.programs.get(input.program);
  const step = program?.steps.get(input.sequence);
  if (program === undefined || step?.state !== 'running' || step.attempt !== input.attempt) return;
  if (input.finding.kind === 'not-run') {
    abandonStep(tables, { ...input, spent: false, holders: [] }, context);
    return;
  }
  const spending = settle(tables.spendingOf(program), step.reservedTokens, 0, 1);
  tables.spending.set(program.root, spending);
  const { sequence, requestDigest, attempt } = step;
  const base = { sequence, requestDigest, attempt };
  const resolved: Step =
    input.finding.kind === 'answered'
      ? { ...base, state: 'done', content: storeAnswer(tables, input.finding.answer) }
      : { ...base, state: 'unknown' };
  const nextSequence = Math.max(program.nextSequence, sequence + 1);
  putStep(tables, { ...program, lastActivityAt: context.at, nextSequence }, resolved);
}

function storeAnswer(tables: ProgramTables, answer: Answer): number {
  return tables.contents.put(encodeStepContent([], answer));
}

/** Content handles of the done steps by sequence; their messages form the history. */
function historyContents(program: Program): readonly number[] {
  return [...program.steps.values()]
    .sort((left, right) => left.sequence - right.sequence)
    .flatMap((step) => (step.state === 'done' ? [step.content] : []));
}

function putStep(tables: ProgramTables, program: Program, step: Step): void {
  const steps = new Map(program.steps);
  steps.set(step.sequence, step);
  tables.putProgram({ ...program, steps });
}

function requireProgram(tables: ProgramTables, id: string): Program {
  const program = tables.programs.get(id);
  if (program === undefined) throw new Error(`No program "${id}"`);
  return program;
}

import type { Target, Team } from '../configuration';
import { messageOf, startTimeout } from '../core';
import type {
  Answer,
  BeginOutcome,
  BeginStep,
  Claim,
  CompleteStep,
  CreateProgram,
  ResolveStep,
  RunStep,
} from '../state';
import { type EntryContext, askControl, configurationOf } from './context';
import { groupOf } from './program-ids';
import { Refusal, notRun } from './refusal';
import type { SettledAttempt } from './sidecar-client';

/** What begins a program of one call, for a call that names none. */
export function createInput(context: EntryContext, id: string, team: Team): CreateProgram {
  return { id, team: team.name, configurationNumber: context.configuration.number };
}

/** Longest time that the leader holds one request to begin; milliseconds. */
const HOLD_MILLISECONDS = 10_000;

/** Margin for the leader's answer, which it gives when the time to wait is over. */
const ANSWER_MILLISECONDS = 2000;

/** How long the answer of a finished call is offered to the leader; milliseconds. */
const COMPLETE_MILLISECONDS = 30_000;

const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  'no-configuration': 503,
  'unknown-kind': 400,
  'unknown-parent': 404,
  'unknown-program': 404,
  'program-exists': 409,
  'program-ended': 409,
  'service-not-allowed': 403,
  'sequence-conflict': 409,
  'history-mismatch': 409,
  'budget-exceeded': 403,
  'turn-limit': 403,
};

/** HTTP status of a refusal by the state. */
export function statusOf(code: string): number {
  return STATUS_BY_CODE[code] ?? 400;
}

/** A step that may run, or whose answer is there already. */
export type BegunStep =
  | { readonly kind: 'run'; readonly run: RunStep }
  | { readonly kind: 'replay'; readonly answer: Answer };

/**
 * Begins a step, waiting for earlier ones until the caller's deadline, and settling what an entry
 * that died has left.
 */
export async function beginStep(
  context: EntryContext,
  step: BeginStep,
  deadline: number,
): Promise<BegunStep> {
  for (;;) {
    const remaining = deadline - context.clock.monotonic();
    const outcome = await askBegin(context, step, remaining);
    switch (outcome.outcome) {
      case 'run':
        return { kind: 'run', run: outcome };
      case 'replay':
        return { kind: 'replay', answer: outcome.answer };
      case 'wait':
        refuseWaitPastDeadline(context, outcome.reason, deadline);
        break;
      case 'settle':
        await settleAttempt(context, step.program, outcome);
        break;
      case 'unknown':
        throw outcomeUnknown();
      case 'refused':
        throw new Refusal({
          status: statusOf(outcome.code),
          code: outcome.code,
          message: outcome.message,
          outcome: 'not-run',
        });
    }
  }
}

function askBegin(
  context: EntryContext,
  step: BeginStep,
  remaining: number,
): Promise<BeginOutcome> {
  const waitMilliseconds = Math.max(0, Math.min(Math.floor(remaining), HOLD_MILLISECONDS));
  const options = {
    group: groupOf(step.program),
    deadlineMilliseconds: Math.max(0, remaining) + ANSWER_MILLISECONDS,
    attemptMilliseconds: HOLD_MILLISECONDS + ANSWER_MILLISECONDS,
  };
  return askControl('not-run', () =>
    context.control.call<BeginOutcome>(
      (connection, signal) => connection.steps.begin.mutate({ step, waitMilliseconds }, { signal }),
      options,
    ),
  );
}

function refuseWaitPastDeadline(
  context: EntryContext,
  reason: 'earlier-step-missing' | 'step-running',
  deadline: number,
): void {
  if (context.clock.monotonic() < deadline) return;
  if (reason === 'earlier-step-missing') {
    throw notRun(409, reason, 'an earlier sequence of this program did not arrive in time');
  }
  const message = 'the same program still works on a step; ask again for its answer';
  throw new Refusal({ status: 409, code: reason, message, outcome: 'unknown' });
}

function outcomeUnknown(): Refusal {
  return new Refusal({
    status: 502,
    code: 'outcome-unknown',
    message: 'the call may have run and may not be repeated; its answer is lost',
    outcome: 'unknown',
  });
}

interface AttemptToSettle {
  readonly sequence: number;
  readonly attempt: string;
  readonly claim: Claim;
}

const SETTLE_MILLISECONDS = 2000;

/** Asks the sidecar that an attempt was claimed at, and records what it tells. */
async function settleAttempt(
  context: EntryContext,
  program: string,
  step: AttemptToSettle,
): Promise<void> {
  const finding = await findOutcome(context, step);
  context.logger.info({ event: 'attempt-settled', program, ...step, finding: finding.kind });
  const { sequence, attempt } = step;
  await askControl('unknown', () =>
    context.control.call(
      (connection, signal) =>
        connection.steps.resolve.mutate({ program, sequence, attempt, finding }, { signal }),
      { group: groupOf(program) },
    ),
  );
}

async function findOutcome(
  context: EntryContext,
  step: AttemptToSettle,
): Promise<ResolveStep['finding']> {
  const target = context.directory.find(configurationOf(context), step.claim.target);
  if (target === undefined) return { kind: 'unknown' };
  const state = await askSidecar(context, target, step);
  switch (state.state) {
    case 'revoked':
      return { kind: 'not-run' };
    case 'answered':
      return { kind: 'answered', answer: state.answer };
    case 'unknown':
      return { kind: 'unknown' };
    case 'running':
      throw new Refusal({
        status: 503,
        code: 'step-running',
        message: 'the call is still running at its target; ask again for its answer',
        outcome: 'unknown',
      });
  }
}

/** A sidecar that can't be asked now may know the answer later. */
async function askSidecar(
  context: EntryContext,
  target: Target,
  step: AttemptToSettle,
): Promise<SettledAttempt> {
  const { controller, cancel } = startTimeout(context.clock, SETTLE_MILLISECONDS);
  try {
    return await context.sidecars.settle(target, step.attempt, step.claim, controller.signal);
  } catch (error) {
    throw new Refusal({
      status: 503,
      code: 'step-running',
      message: 'the target of an earlier attempt gives no answer; ask again later',
      outcome: 'unknown',
      cause: error,
    });
  } finally {
    cancel();
  }
}

/** Stores a step's answer; a step that another entry took over has that one's answer. */
export async function completeStep(context: EntryContext, step: CompleteStep): Promise<Answer> {
  const outcome = await askControl('unknown', () =>
    context.control.call(
      (connection, signal) =>
        connection.steps.complete.mutate({ ...step, messages: [...step.messages] }, { signal }),
      { group: groupOf(step.program), deadlineMilliseconds: COMPLETE_MILLISECONDS },
    ),
  );
  if (outcome.outcome === 'recorded') return step.answer;
  if (outcome.answer !== undefined) return outcome.answer;
  throw new Refusal({
    status: 503,
    code: 'superseded',
    message: 'another entry took this step over; ask again for its answer',
    outcome: 'unknown',
  });
}

/** What an attempt that failed leaves behind. */
export interface FailedAttempt {
  readonly program: string;
  readonly sequence: number;
  readonly attempt: string;
  readonly spent: boolean;
  readonly holders: readonly string[];
}

/**
 * Takes a step back after a failure. It is offered to the leader until one takes it, in the
 * background, since a step that stays marked as running would hold up its program.
 */
export function abandonStep(context: EntryContext, step: FailedAttempt): Promise<void> {
  return offerAbandon(context, step).catch((error: unknown) => {
    context.logger.warn({ event: 'abandon-failed', ...step, cause: messageOf(error) });
    if (context.isStopping()) return;
    void abandonStep(context, step);
  });
}

async function offerAbandon(context: EntryContext, step: FailedAttempt): Promise<void> {
  await context.control.call(
    (connection, signal) =>
      connection.steps.abandon.mutate({ ...step, holders: [...step.holders] }, { signal }),
    { group: groupOf(step.program) },
  );
}

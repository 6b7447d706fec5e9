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
import { type EntryContext, callControl, requireConfiguration } from './context';
import { requireGroup } from './program-ids';
import { Refusal, notRunRefusal } from './refusal';
import type { AttemptState } from './sidecar-client';

/** Input that creates the program of a call that names none. */
export function createProgramInput(context: EntryContext, id: string, team: Team): CreateProgram {
  return { id, team: team.name, configurationNumber: context.configuration.number };
}

/** Maximum time for which one `begin` request waits at the leader. */
const BEGIN_WAIT_LIMIT_MILLISECONDS = 10_000;

/** Added to the wait: the leader responds only when the wait ends. */
const RESPONSE_MARGIN_MILLISECONDS = 2000;

/** Time during which storing the answer of a finished call is retried. */
const COMPLETE_DEADLINE_MILLISECONDS = 30_000;

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

/** HTTP status for the code of a refusal by the state. */
export function statusOf(code: string): number {
  return STATUS_BY_CODE[code] ?? 400;
}

/** `run`: the step may run now. `replay`: its answer is already stored. */
export type BeginResult =
  | { readonly kind: 'run'; readonly run: RunStep }
  | { readonly kind: 'replay'; readonly answer: Answer };

/**
 * Begins a step. Waits for earlier steps until `deadline`, in milliseconds of the monotonic clock,
 * and settles an attempt that a terminated entry left unfinished.
 */
export async function beginStep(
  context: EntryContext,
  step: BeginStep,
  deadline: number,
): Promise<BeginResult> {
  for (;;) {
    const remaining = deadline - context.clock.monotonic();
    const outcome = await requestBegin(context, step, remaining);
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
        throw outcomeUnknownRefusal();
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

function requestBegin(
  context: EntryContext,
  step: BeginStep,
  remaining: number,
): Promise<BeginOutcome> {
  const waitMilliseconds = Math.max(
    0,
    Math.min(Math.floor(remaining), BEGIN_WAIT_LIMIT_MILLISECONDS),
  );
  const options = {
    group: requireGroup(step.program),
    deadlineMilliseconds: Math.max(0, remaining) + RESPONSE_MARGIN_MILLISECONDS,
    attemptMilliseconds: BEGIN_WAIT_LIMIT_MILLISECONDS + RESPONSE_MARGIN_MILLISECONDS,
  };
  return callControl(context, 'not-run', () =>
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
    throw notRunRefusal(409, reason, 'an earlier sequence of this program did not arrive in time');
  }
  const message = 'the same program still works on a step; ask again for its answer';
  throw new Refusal({ status: 409, code: reason, message, outcome: 'unknown' });
}

function outcomeUnknownRefusal(): Refusal {
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

const SETTLE_TIMEOUT_MILLISECONDS = 2000;

/** Queries the sidecar at which an attempt was claimed and records the outcome. */
async function settleAttempt(
  context: EntryContext,
  program: string,
  step: AttemptToSettle,
): Promise<void> {
  const finding = await findOutcome(context, step);
  context.logger.info({ event: 'attempt-settled', program, ...step, finding: finding.kind });
  const { sequence, attempt } = step;
  await callControl(context, 'unknown', () =>
    context.control.call(
      (connection, signal) =>
        connection.steps.resolve.mutate({ program, sequence, attempt, finding }, { signal }),
      { group: requireGroup(program) },
    ),
  );
}

async function findOutcome(
  context: EntryContext,
  step: AttemptToSettle,
): Promise<ResolveStep['finding']> {
  const target = context.directory.find(requireConfiguration(context), step.claim.target);
  if (target === undefined) return { kind: 'unknown' };
  const state = await fetchAttemptState(context, target, step);
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

/** Throws a retryable refusal when the sidecar does not respond; a later request may succeed. */
async function fetchAttemptState(
  context: EntryContext,
  target: Target,
  step: AttemptToSettle,
): Promise<AttemptState> {
  const { controller, cancel } = startTimeout(context.clock, SETTLE_TIMEOUT_MILLISECONDS);
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

/**
 * Stores a step's answer; resolves with the stored one if another entry completed the step first.
 */
export async function completeStep(context: EntryContext, step: CompleteStep): Promise<Answer> {
  const outcome = await callControl(context, 'unknown', () =>
    context.control.call(
      (connection, signal) =>
        connection.steps.complete.mutate({ ...step, messages: [...step.messages] }, { signal }),
      { group: requireGroup(step.program), deadlineMilliseconds: COMPLETE_DEADLINE_MILLISECONDS },
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

export interface FailedAttempt {
  readonly program: string;
  readonly sequence: number;
  readonly attempt: string;
  /** Whether the reserved tokens and the call are charged to the program's budget. */
  readonly spent: boolean;
  /** Targets that the attempt may have reached, and that may cache the program's history. */
  readonly holders: readonly string[];
}

/**
 * Abandons a failed step, so that its sequence can begin again. Resolves after the first request;
 * later ones follow in the background until a leader accepts one or the process drains, because a
 * step that stays marked as running blocks its program.
 */
export function abandonStep(context: EntryContext, step: FailedAttempt): Promise<void> {
  return context.stop.settleBeforeEnd(sendAbandon(context, step)).catch((error: unknown) => {
    context.logger.warn({ event: 'abandon-failed', ...step, cause: messageOf(error) });
    if (context.stop.hasBegun) return;
    void abandonStep(context, step);
  });
}

async function sendAbandon(context: EntryContext, step: FailedAttempt): Promise<void> {
  await context.control.call(
    (connection, signal) =>
      connection.steps.abandon.mutate({ ...step, holders: [...step.holders] }, { signal }),
    { group: requireGroup(step.program) },
  );
}

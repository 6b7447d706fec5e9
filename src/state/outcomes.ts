import type { Answer, Claim, Message, Program, Spending } from './records';

/** Reason why a request was refused before anything ran. */
export type RefusalCode =
  | 'no-configuration'
  | 'unknown-kind'
  | 'unknown-program'
  | 'unknown-parent'
  | 'program-ended'
  | 'program-exists'
  | 'service-not-allowed'
  | 'sequence-conflict'
  | 'history-mismatch'
  | 'budget-exceeded'
  | 'turn-limit';

export interface Refused {
  readonly outcome: 'refused';
  readonly code: RefusalCode;
  readonly message: string;
}

export function refuse(code: RefusalCode, message: string): Refused {
  return { outcome: 'refused', code, message };
}

export interface Created {
  readonly outcome: 'created';
  readonly program: ProgramView;
}

/** Public view of a program, for callers and operators. */
export interface ProgramView {
  readonly id: string;
  readonly root: string;
  readonly parent?: string | undefined;
  readonly team: string;
  readonly kind: string;
  readonly state: 'live' | 'ended';
  readonly endReason?: string | undefined;
  readonly steps: number;
  readonly nextSequence: number;
  readonly messageCount: number;
  readonly contextTokens: number;
  /** Spending of the root program, shared by all its descendants. */
  readonly spending: Spending;
}

/** The step may run now. */
export interface RunStep {
  readonly outcome: 'run';
  readonly sequence: number;
  readonly historyCount: number;
  /** The stored history if the caller sent only new messages; otherwise empty. */
  readonly history: readonly Message[];
  readonly contextTokens: number;
  readonly lastTarget?: string | undefined;
  /** Wall time in milliseconds; a leader of an earlier version does not report it. */
  readonly lastTurnEndedAt?: number | undefined;
  /** Wall time in milliseconds. */
  readonly programDeadlineAt: number;
}

/** The step is done; its stored answer is returned. */
export interface ReplayStep {
  readonly outcome: 'replay';
  readonly sequence: number;
  readonly answer: Answer;
}

/** The step can't run yet; the caller waits and begins it again. */
export interface WaitStep {
  readonly outcome: 'wait';
  readonly reason: 'earlier-step-missing' | 'step-running';
}

/**
 * An earlier attempt of a non-repeatable call is unresolved; its outcome has to be requested from
 * its target first.
 */
export interface SettleStep {
  readonly outcome: 'settle';
  readonly sequence: number;
  readonly attempt: string;
  readonly claim: Claim;
}

/** It is not known whether a non-repeatable call ran, so it is not run again. */
export interface UnknownOutcome {
  readonly outcome: 'unknown';
}

export type BeginOutcome = RunStep | ReplayStep | WaitStep | SettleStep | UnknownOutcome | Refused;

/** A {@link BeginOutcome} with content handles for texts. */
export type BeginDecision =
  | (Omit<RunStep, 'history'> & { readonly history: readonly number[] })
  | { readonly outcome: 'replay'; readonly sequence: number; readonly content: number }
  | Exclude<BeginOutcome, RunStep | ReplayStep>;

export interface Recorded {
  readonly outcome: 'recorded';
}

/** Another attempt replaced this one; `answer` is the answer of the step, if it is done. */
export interface Superseded {
  readonly outcome: 'superseded';
  readonly answer?: Answer | undefined;
}

export type CompleteOutcome = Recorded | Superseded;

/** A {@link CompleteOutcome} with a content handle for the answer. */
export type CompleteDecision =
  Recorded | { readonly outcome: 'superseded'; readonly content: number | undefined };

export interface Accepted {
  readonly outcome: 'accepted';
  readonly number: number;
  readonly digest: string;
}

export interface NotAccepted {
  readonly outcome: 'not-accepted';
  readonly code: 'invalid' | 'number-taken' | 'number-low';
  readonly message: string;
  /** Number and digest of the active configuration. */
  readonly number: number;
  readonly digest: string;
}

export type AcceptOutcome = Accepted | NotAccepted;

/** Result of a log entry of the configuration group. */
export type ConfigurationResult = AcceptOutcome | { readonly outcome: 'leaving-hosts-recorded' };

export interface Ended {
  readonly outcome: 'ended';
  readonly program: ProgramView;
}

export function viewProgram(program: Program, spending: Spending): ProgramView {
  const { id, root, parent, team, kind, endReason, nextSequence, contextTokens } = program;
  return {
    id,
    root,
    parent,
    team,
    kind,
    state: endReason === undefined ? 'live' : 'ended',
    endReason,
    steps: program.steps.size,
    nextSequence,
    messageCount: program.messageCount,
    contextTokens,
    spending,
  };
}

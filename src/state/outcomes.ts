import type { Answer, Claim, Message, Program, Spending } from './records';

/** Why the state refuses a request; nothing was run. */
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

/** Builds a refusal. */
export function refuse(code: RefusalCode, message: string): Refused {
  return { outcome: 'refused', code, message };
}

export interface Created {
  readonly outcome: 'created';
  readonly program: ProgramView;
}

/** What callers and operators may see of a program. */
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
  /** Of the root, so shared with its sub-agents. */
  readonly spending: Spending;
}

/** The step may run now. */
export interface RunStep {
  readonly outcome: 'run';
  readonly sequence: number;
  readonly historyCount: number;
  /** The stored history, when the caller sent only what is new. */
  readonly history: readonly Message[];
  readonly contextTokens: number;
  readonly lastTarget?: string | undefined;
  /** Wall time in milliseconds. */
  readonly programDeadlineAt: number;
}

/** The step was answered before. */
export interface ReplayStep {
  readonly outcome: 'replay';
  readonly sequence: number;
  readonly answer: Answer;
}

/** The step can't run yet. */
export interface WaitStep {
  readonly outcome: 'wait';
  readonly reason: 'earlier-step-missing' | 'step-running';
}

/** An earlier attempt of a call that may not be repeated has to be settled at its target first. */
export interface SettleStep {
  readonly outcome: 'settle';
  readonly sequence: number;
  readonly attempt: string;
  readonly claim: Claim;
}

/** Nobody can tell whether the call ran; it is not run again. */
export interface UnknownOutcome {
  readonly outcome: 'unknown';
}

export type BeginOutcome = RunStep | ReplayStep | WaitStep | SettleStep | UnknownOutcome | Refused;

/** A {@link BeginOutcome} as the state decides it: texts are named by handle. */
export type BeginDecision =
  | (Omit<RunStep, 'history'> & { readonly history: readonly number[] })
  | { readonly outcome: 'replay'; readonly sequence: number; readonly content: number }
  | Exclude<BeginOutcome, RunStep | ReplayStep>;

/** The answer is stored. */
export interface Recorded {
  readonly outcome: 'recorded';
}

/** Another attempt took the step over; its answer, if it has one, is the step's. */
export interface Superseded {
  readonly outcome: 'superseded';
  readonly answer?: Answer | undefined;
}

export type CompleteOutcome = Recorded | Superseded;

/** A {@link CompleteOutcome} as the state decides it. */
export type CompleteDecision =
  Recorded | { readonly outcome: 'superseded'; readonly content: number | undefined };

export interface Accepted {
  readonly outcome: 'accepted';
  readonly number: number;
  readonly digest: string;
}

/** A configuration that is not taken. */
export interface NotAccepted {
  readonly outcome: 'not-accepted';
  readonly code: 'invalid' | 'number-taken' | 'number-low';
  readonly message: string;
  /** What is in force instead. */
  readonly number: number;
  readonly digest: string;
}

export type AcceptOutcome = Accepted | NotAccepted;

export interface Ended {
  readonly outcome: 'ended';
  readonly program: ProgramView;
}

/** Summarises a program. */
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

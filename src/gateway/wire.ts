import type { PromptPart } from '../targets';

/** What a caller's headers say. Times in milliseconds. */
export interface RequestHead {
  /** The caller's id of this attempt; nothing if it sent none. */
  readonly id: string | undefined;
  /** How long the caller waits, from the time it sent the request. */
  readonly waitMilliseconds: number | undefined;
  /** The key by which it is known whose caller it is; nothing if it sent none, or more than one. */
  readonly key: string | undefined;
  readonly program: string | undefined;
  /** Time that remains until the whole program should be over. */
  readonly programMilliseconds: number | undefined;
  /** Tokens that all turns of the program may generate together. */
  readonly budget: number | undefined;
  /** The turn that this one continues. */
  readonly previousTurn: string | undefined;
  readonly promptTokens: number;
  /** Tokens that this turn may generate at most. */
  readonly mostTokens: number;
  readonly parts: readonly PromptPart[];
}

/** What the headers of a target's answer say. */
export interface AnswerHead {
  /** The id of the request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the proof that a target made it. */
  readonly isSigned: boolean;
  /** Whether the target says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body is encoded, which no target was asked for. */
  readonly isEncoded: boolean;
}

/** What the system adds to a request for a target. */
export interface TargetHeaders {
  /** Time that is left; milliseconds. */
  readonly remainingMilliseconds: number;
  /** Identity of the target that is meant. */
  readonly target: string;
  /** 0 to 9, 0 first; left to the target's default if not given. */
  readonly priority: number | undefined;
  /** Name of the caller's team, by which targets know who asks. */
  readonly team: string | undefined;
  /** Whether callers' keys are for the system alone, so that targets are not shown them. */
  readonly hidesKey: boolean;
}

export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Names and forms of the headers that callers, targets and the system exchange. */
export interface Wire {
  /** `rawHeaders`: name, value, name, value, with those that stand twice. */
  readRequest(headers: HeaderMap, rawHeaders: readonly string[]): RequestHead;
  readAnswer(headers: HeaderMap): AnswerHead;
  /** The caller's headers as name, value, name, value, without those the system sets itself. */
  buildTargetHeaders(rawHeaders: readonly string[], added: TargetHeaders): string[];
}

import type { PromptPart } from '../targets';

/** Values of a caller's request headers. Times in milliseconds. */
export interface RequestHead {
  /** Set by the caller, different for each attempt of its own. */
  readonly id: string | undefined;
  /** The caller's timeout, counted from the arrival of the request. */
  readonly timeoutMilliseconds: number | undefined;
  /** API key; undefined if the caller sent none, or more than one. */
  readonly key: string | undefined;
  readonly program: string | undefined;
  /** Time that remains until the deadline of the whole program. */
  readonly programMilliseconds: number | undefined;
  /** Total tokens that all turns of the program may generate. */
  readonly budget: number | undefined;
  /** Id of the turn that this one continues. */
  readonly previousTurn: string | undefined;
  readonly promptTokens: number;
  /** Upper bound of the tokens that this turn may generate. */
  readonly maxTokens: number;
  readonly parts: readonly PromptPart[];
}

/** Values of a target's response headers. */
export interface ResponseHead {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the response carries a target's signature, which responses of other servers lack. */
  readonly isSigned: boolean;
  /** Whether the target reports that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body has a content encoding, which requests never ask for. */
  readonly isEncoded: boolean;
}

/** Values that the gateway adds to a request for a target. */
export interface TargetHeaders {
  /** Time until the deadline of the request. */
  readonly remainingMilliseconds: number;
  /** Id of the target that the request is meant for; another server rejects it. */
  readonly target: string;
  /** 0 (highest) to 9; the target's default applies if undefined. */
  readonly priority: number | undefined;
  /** Name of the caller's team. */
  readonly team: string | undefined;
  /** Whether the caller's key is removed from the request. */
  readonly hidesKey: boolean;
}

export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Reads and writes the headers exchanged with callers and targets. */
export interface WireFormat {
  /** `rawHeaders` alternates names and values and includes repeated headers. */
  readRequest(headers: HeaderMap, rawHeaders: readonly string[]): RequestHead;
  readResponse(headers: HeaderMap): ResponseHead;
  /**
   * Returns alternating names and values: those of the caller, except hop-by-hop headers and
   * headers that the gateway sets, and those of `added`.
   */
  buildTargetHeaders(rawHeaders: readonly string[], added: TargetHeaders): string[];
}

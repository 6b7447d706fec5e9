/** Bounds beyond which a response is taken for faulty. */
export interface ResponseLimits {
  /** Length of the body. */
  readonly bodyBytes: number;
  /** Number of events in a stream. */
  readonly events: number;
  /** Length of one event in a stream, with the comments before it. */
  readonly eventBytes: number;
}

const DEFAULT_RESPONSE_LIMITS: ResponseLimits = {
  bodyBytes: 8 * 1024 * 1024,
  events: Infinity,
  eventBytes: Infinity,
};

/** How far a response has arrived. */
export interface ResponseProgress {
  readonly bodyBytes: number;
  /** Complete events. */
  readonly events: number;
  /** Length of the longest event, which may be incomplete. */
  readonly eventBytes: number;
}

export type ResponseLimit = keyof ResponseLimits;

/** Adds the default limits to the given ones. */
export function resolveResponseLimits(limits: Partial<ResponseLimits> = {}): ResponseLimits {
  return { ...DEFAULT_RESPONSE_LIMITS, ...limits };
}

/** Returns the first limit that a response exceeds; undefined if it exceeds none. */
export function findExceededLimit(
  { bodyBytes, events, eventBytes }: ResponseProgress,
  limits: ResponseLimits,
): ResponseLimit | undefined {
  if (eventBytes > limits.eventBytes) return 'eventBytes';
  if (events > limits.events) return 'events';
  return bodyBytes > limits.bodyBytes ? 'bodyBytes' : undefined;
}

/** Describes a response that exceeds a limit. */
export function describeExceededLimit(limit: ResponseLimit, limits: ResponseLimits): string {
  const value = String(limits[limit]);
  switch (limit) {
    case 'bodyBytes':
      return `an answer of more than ${value} bytes`;
    case 'events':
      return `an answer of more than ${value} events`;
    case 'eventBytes':
      return `an event of more than ${value} bytes`;
  }
}

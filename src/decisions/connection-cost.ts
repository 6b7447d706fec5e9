/** Processor time of a gateway to open a connection to a target and to close it later. */
const PROCESSOR_MILLISECONDS = 1;

/** Time that a target takes to accept a connection. */
const HANDSHAKE_MILLISECONDS = 1;

/**
 * Upper bound for very small hosts. Above it, a request would rather wait behind another one at a
 * connected target, which takes longer than the connection would.
 */
const MAXIMUM_MILLISECONDS = 8;

/**
 * Time that opening a connection adds to a request; milliseconds.
 *
 * Answers a small gateway in front of many targets: its requests would spread over all of them, and
 * much of its processor time would go into connections that carry only a few requests.
 *
 * `processorShare`: share of a core that the gateway may use.
 */
export function newConnectionMilliseconds(processorShare: number): number {
  const milliseconds = HANDSHAKE_MILLISECONDS + PROCESSOR_MILLISECONDS / processorShare;
  return Math.min(milliseconds, MAXIMUM_MILLISECONDS);
}

import { type Logger, type Metrics, RateLimitedLogLine } from '../core';
import { ResponseMemory, type ResponseMemoryOptions } from './response-memory';

/** Minimum time between two log lines about responses that wait for memory. */
const LOG_INTERVAL_MILLISECONDS = 5000;

export interface ObservedResponseMemoryOptions extends Omit<ResponseMemoryOptions, 'onWaiting'> {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Creates a memory whose use is among the metrics, and logged while responses have to wait. */
export function createObservedResponseMemory({
  logger,
  metrics,
  ...options
}: ObservedResponseMemoryOptions): ResponseMemory {
  const { clock, capacityBytes } = options;
  const line = new RateLimitedLogLine({
    ...{ event: 'response-memory-full', clock, logger },
    intervalMilliseconds: LOG_INTERVAL_MILLISECONDS,
  });
  const onWaiting = () => {
    const { usedBytes, waitingCount: waiting, revokedCount: revoked } = memory;
    line.write({ usedBytes, capacityBytes, waiting, revoked });
  };
  const memory = new ResponseMemory({ ...options, onWaiting });
  metrics.gauge('response_memory_used_bytes', () => memory.usedBytes);
  metrics.gauge('response_memory_capacity_bytes', () => memory.capacityBytes);
  metrics.gauge('responses_waiting', () => memory.waitingCount);
  metrics.gauge('responses_waited', () => memory.waitedCount);
  metrics.gauge('responses_revoked', () => memory.revokedCount);
  return memory;
}

import type { RandomSource } from '../core';
import type { Refusal } from './refusal';

/**
 * Requests in flight per engine slot from which on no new program is started. From 2 on, turns wait
 * so long that all programs are late together.
 */
const OVERLOAD_REQUESTS_PER_SLOT = 1.25;

/**
 * Range of the random `Retry-After`, which spreads the retries of refused callers. A turn frees its
 * slot after 0.2 to 0.3 s.
 */
const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 0.3 } as const;

/** Load of all engines that a turn may be sent to. */
export interface EngineLoad {
  /** Requests in flight, including those that other gateways reported. */
  readonly load: number;
  /** Requests that the engines process concurrently; 0 if no engine is reachable. */
  readonly slots: number;
}

export interface OverloadInput extends EngineLoad {
  readonly service: string;
  /** Whether the turn is the first of its program. */
  readonly startsProgram: boolean;
}

/**
 * Refuses the first turn of a program while the engines are overloaded; undefined if the turn may
 * proceed. Answers demand beyond the capacity of the engines: running programs take precedence,
 * since too many concurrent programs evict each other's prompts from the engine caches and are all
 * late.
 */
export function refuseInOverload(
  { service, load, slots, startsProgram }: OverloadInput,
  random: RandomSource,
): Refusal | undefined {
  const isOverloaded = slots > 0 && load >= slots * OVERLOAD_REQUESTS_PER_SLOT;
  if (!startsProgram || !isOverloaded) return undefined;
  const { shortest, longest } = RETRY_AFTER_SECONDS;
  return {
    status: 503,
    code: 'overloaded',
    message: `${load} requests are under way at ${slots} places of ${service}; the turn was not run`,
    retryAfterSeconds: shortest + (longest - shortest) * random.fraction(),
  };
}

import type { RandomSource } from '../core';
import type { Refusal } from './refusal';

/**
 * Requests for each place of the engines from which on no program is begun. In simulated time 1 and 1.25
 * bear a burst equally well; from 2 on turns wait so long that all programs are late together.
 */
const REQUESTS_PER_PLACE = 1.25;

/**
 * Bounds of the pause that a refused caller is asked for, drawn so that callers do not return together;
 * seconds. A turn frees its place after 0.2 to 0.3 s.
 */
const PAUSE_SECONDS = { shortest: 0.1, longest: 0.3 } as const;

/** What the engines that a turn may go to have under way. */
export interface EngineLoad {
  /** Requests under way, of all gateways as far as known. */
  readonly load: number;
  /** Requests that the engines work on at once; 0 where none can be reached. */
  readonly slots: number;
}

export interface OverloadSnapshot extends EngineLoad {
  readonly service: string;
  /** Whether the turn is the first of its program. */
  readonly startsProgram: boolean;
}

/**
 * Refuses to begin a program while the engines are overloaded; nothing if the turn may go on. Answers
 * demand beyond what the engines can do: programs under way are finished before new ones begin, since
 * with all begun at once engines lose the prompts that they hold, read them again and everybody is
 * late. Purpose, in simulated time: with twice the programs for three seconds 91% end in time in place
 * of 75%, with four times for two seconds 67% in place of 19%; those refused for good count as late.
 */
export function refuseInOverload(
  { service, load, slots, startsProgram }: OverloadSnapshot,
  random: RandomSource,
): Refusal | undefined {
  const isOverloaded = slots > 0 && load >= slots * REQUESTS_PER_PLACE;
  if (!startsProgram || !isOverloaded) return undefined;
  const { shortest, longest } = PAUSE_SECONDS;
  return {
    status: 503,
    code: 'overloaded',
    message: `${load} requests are under way at ${slots} places of ${service}; the turn was not run`,
    retryAfterSeconds: shortest + (longest - shortest) * random.fraction(),
  };
}

import type { RandomSource } from '../core';
import type { ShareOutcome } from '../quotas';
import type { Refusal } from './refusal';

/** Pause that a refusal asks for where nobody could be asked: an election takes 0.6 s. Seconds. */
const UNKNOWN_RETRY_SECONDS = 0.3;

/** Part of the pause that is drawn, so that callers who were refused together do not return together. */
const DRAWN_SHARE = 0.5;

/**
 * The refusal of a request that lies beyond its team's quota, or of which that can't be told; nothing if it
 * may go on. Answers a team that sends more than its quota: the caller is told when the quota has room, by
 * what is refilled and, for a program that would begin, by what the programs under way will still ask for.
 */
export function refuseByQuota(
  team: string,
  outcome: ShareOutcome,
  random: RandomSource,
): Refusal | undefined {
  switch (outcome.kind) {
    case 'granted':
      return undefined;
    case 'spent':
      return {
        status: 429,
        code: 'quota_spent',
        message: `the quota of team "${team}" is used up at present; the request was not run`,
        retryAfterSeconds: outcome.retryAfterSeconds * (1 + DRAWN_SHARE * random.fraction()),
      };
    case 'unknown':
      return {
        status: 503,
        code: 'quota_unknown',
        message: 'what is left of the quota could not be asked for; the request was not run',
        retryAfterSeconds: UNKNOWN_RETRY_SECONDS * (1 + DRAWN_SHARE * random.fraction()),
      };
  }
}

import type { RandomSource } from '../core';
import type { ShareOutcome } from '../quotas';
import type { Refusal } from './refusal';

/** Base of `Retry-After` while the quota allocator is unreachable. */
const QUOTA_UNKNOWN_RETRY_SECONDS = 0.3;

/** Maximum jitter, as a share of `Retry-After`, that spreads the retries of refused callers. */
const RETRY_JITTER_SHARE = 0.5;

/**
 * Refuses a request over its team's quota or whose quota is unknown; undefined if it may proceed.
 * Answers a team that sends more than its quota: `Retry-After` says when the quota has room again.
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
        retryAfterSeconds: outcome.retryAfterSeconds * (1 + RETRY_JITTER_SHARE * random.fraction()),
      };
    case 'unknown':
      return {
        status: 503,
        code: 'quota_unknown',
        message: 'what is left of the quota could not be asked for; the request was not run',
        retryAfterSeconds:
          QUOTA_UNKNOWN_RETRY_SECONDS * (1 + RETRY_JITTER_SHARE * random.fraction()),
      };
  }
}

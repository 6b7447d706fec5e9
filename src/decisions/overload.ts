import type { RandomSource } from '../core';
import type { TeamShare } from './engine-shares';
import type { Refusal } from './refusal';

/** Requests in flight per engine slot from which on no new program is started. */
const OVERLOAD_REQUESTS_PER_SLOT = 1.25;

/**
 * Limits of requests in flight per slot with fair shares. A new program of a team over its share
 * would only wait behind the other teams, so it is refused as soon as the slots are in use. The
 * limit for all requests keeps the queues of the engines from overflowing: an engine sheds requests
 * beyond about 3 per slot, whatever their priority.
 */
const SHARED_REQUESTS_PER_SLOT = { overShare: 1, inTotal: 3 } as const;

/** Range of the random `Retry-After`, which spreads the retries of refused callers. */
const RETRY_AFTER_SECONDS = { shortest: 0.1, longest: 0.3 } as const;

/**
 * Range of `Retry-After` for a team over its share. Callers honor it up to a third of their
 * remaining time, which is about 1 s for a new program. The jitter keeps the callers of the flood
 * from returning at once.
 */
const OVER_SHARE_RETRY_AFTER_SECONDS = { shortest: 0.3, longest: 1, jitter: 0.5 } as const;

/** Load of all engines that a turn may be sent to. */
export interface EngineLoad {
  /** Requests in flight, including those that other gateways reported. */
  readonly load: number;
  /** Requests that the engines process concurrently; 0 if no engine is reachable. */
  readonly slots: number;
}

/** What an admission with fair shares is based on. */
export interface FairShareLoad {
  /** Undefined if no request of the team is known. */
  readonly teamShare: TeamShare | undefined;
  /** Requests in flight without the excess of teams over their share; see `countRequestsAhead`. */
  readonly ahead: number;
  /** Average duration of a turn; milliseconds. */
  readonly averageMilliseconds: number;
}

export interface OverloadInput extends EngineLoad {
  readonly service: string;
  /** Whether the turn is the first of its program. */
  readonly startsProgram: boolean;
  /** Absent without fair shares. */
  readonly fairShare?: FairShareLoad;
}

/**
 * Refuses the first turn of a program while the engines are overloaded; undefined if the turn may
 * proceed. Running programs take precedence, since too many concurrent programs evict each other's
 * prompts from the engine caches.
 *
 * With fair shares, the excess of other teams does not count against a team within its share, since
 * the engines admit its turn first. Requests of less urgent routes count, although engines admit
 * them later too: their programs have begun, and new programs in their place would make them late.
 */
export function refuseInOverload(input: OverloadInput, random: RandomSource): Refusal | undefined {
  const { slots, startsProgram, fairShare } = input;
  if (!startsProgram || slots <= 0) return undefined;
  if (fairShare?.teamShare?.isOverShare === true) {
    return refuseOverShare(input, fairShare.teamShare, fairShare.averageMilliseconds, random);
  }
  return isOverloaded(input) ? refuseOverloaded(input, random) : undefined;
}

function isOverloaded({ load, slots, fairShare }: OverloadInput): boolean {
  if (fairShare === undefined) return load >= slots * OVERLOAD_REQUESTS_PER_SLOT;
  return (
    fairShare.ahead >= slots * OVERLOAD_REQUESTS_PER_SLOT ||
    load >= slots * SHARED_REQUESTS_PER_SLOT.inTotal
  );
}

function refuseOverloaded({ service, load, slots }: OverloadInput, random: RandomSource): Refusal {
  const { shortest, longest } = RETRY_AFTER_SECONDS;
  return {
    status: 503,
    code: 'overloaded',
    message: `${load} requests are under way at ${slots} places of ${service}; the turn was not run`,
    retryAfterSeconds: shortest + (longest - shortest) * random.fraction(),
  };
}

function refuseOverShare(
  { service, load, slots }: OverloadInput,
  teamShare: TeamShare,
  averageMilliseconds: number,
  random: RandomSource,
): Refusal | undefined {
  if (load < slots * SHARED_REQUESTS_PER_SLOT.overShare) return undefined;
  const { team, requests, share } = teamShare;
  return {
    status: 503,
    code: 'team_over_share',
    message:
      `team ${team} has ${requests} requests under way, and its share is ${share.toFixed(1)} ` +
      `of ${slots} places of ${service}; the turn was not run`,
    retryAfterSeconds: excessDrainSeconds(teamShare, averageMilliseconds, random),
  };
}

/** Estimated time until the team's requests fit into its share, clamped and with jitter; seconds. */
function excessDrainSeconds(
  { requests, share }: TeamShare,
  averageMilliseconds: number,
  random: RandomSource,
): number {
  const { shortest, longest, jitter } = OVER_SHARE_RETRY_AFTER_SECONDS;
  const rounds = share > 0 ? (requests - share) / share : Infinity;
  const seconds = Math.max(shortest, (rounds * averageMilliseconds) / 1000 || 0);
  return Math.min(longest, seconds * (1 + jitter * random.fraction()));
}

/**
 * Part of the slots that is shared. Turns wait before all slots are in use, since the turns of a
 * conversation go to the engine that caches it. With shares of all slots, a flood delays the other
 * teams.
 */
const SHARED_SLOTS_FACTOR = 0.8;

/**
 * A team over its share is refused and its running programs are delayed, so it has to exceed the
 * share clearly: by the tolerance of the overload limit, by more than the requests that one more
 * program of a small team adds, and by a part of the slots that delays other teams noticeably.
 * Without the last condition small teams exceed their shares at random in a burst of all teams.
 */
const TOLERANCE = { factor: 1.25, requests: 2, slotsFactor: 0.1 } as const;

/** Requests in flight at the engines of a service from one team. */
export interface TeamDemand {
  readonly team: string;
  readonly requests: number;
  /** Relative size of the team's share; its quota in requests per second. */
  readonly weight: number;
}

export interface TeamShare {
  readonly team: string;
  readonly requests: number;
  /** Slots; fractional. Their sum leaves a part of the slots free for uneven placement. */
  readonly share: number;
  readonly isOverShare: boolean;
}

export interface EngineSharesInput {
  /** At most one entry for each team. */
  readonly demands: readonly TeamDemand[];
  readonly slots: number;
}

/**
 * Weighted max-min fair shares of the engine slots of a service. Slots that a team does not request
 * are divided among the others in proportion to their weights.
 *
 * The load addressed is a flood: one team sends a multiple of its usual load for some seconds and
 * fills the queues that the other teams share with it. Without contention, each share equals the
 * requests of its team. In a burst of all teams the shares of all are exceeded, and a team is over
 * its share only if it exceeds it by more than the others do.
 */
export function computeEngineShares({
  demands,
  slots,
}: EngineSharesInput): ReadonlyMap<string, TeamShare> {
  const sharedSlots = slots * SHARED_SLOTS_FACTOR;
  const requestsOfAll = demands.reduce((sum, { requests }) => sum + requests, 0);
  const sharesOfAll = Math.min(sharedSlots, requestsOfAll);
  const exceeds = (requests: number, share: number) => {
    if (requestsOfAll < sharedSlots) return false;
    const others = { requests: requestsOfAll - requests, share: sharesOfAll - share };
    return others.requests > 0 && exceedsTolerance(requests, share * pressureOf(others), slots);
  };
  const shares = new Map<string, TeamShare>();
  let slotsLeft = sharedSlots;
  const ascending = [...demands].sort(compareRequestsPerWeight);
  const weightsFrom = sumWeightsFromEachIndex(ascending);
  for (const [index, { team, requests, weight }] of ascending.entries()) {
    const weightLeft = weightsFrom[index] ?? 0;
    const part = weightLeft > 0 ? weight / weightLeft : 1 / (ascending.length - index);
    const share = Math.min(requests, slotsLeft * part);
    shares.set(team, { team, requests, share, isOverShare: exceeds(requests, share) });
    slotsLeft = Math.max(0, slotsLeft - share);
  }
  return shares;
}

/** Requests in flight that delay the teams within their shares: all but the excess of the others. */
export function countRequestsAhead({
  load,
  shares,
}: {
  /** Requests in flight of all teams. */
  readonly load: number;
  readonly shares: ReadonlyMap<string, TeamShare>;
}): number {
  const excess = [...shares.values()]
    .filter(({ isOverShare }) => isOverShare)
    .reduce((sum, { requests, share }) => sum + requests - share, 0);
  return Math.max(0, load - excess);
}

/**
 * Requests per slot of the share, at least 1. It scales the share of a team that is compared with
 * the others, so that a burst of all teams puts none of them over its share.
 */
function pressureOf({ requests, share }: { readonly requests: number; readonly share: number }) {
  return share > 0 ? Math.max(1, requests / share) : 1;
}

/**
 * Orders teams so that those with few requests for their weight come first and leave the rest of
 * their parts to the others. Teams of weight 0 come last, in the order of their requests.
 */
function compareRequestsPerWeight(left: TeamDemand, right: TeamDemand): number {
  const ratio = ({ requests, weight }: TeamDemand) => (requests === 0 ? 0 : requests / weight);
  const isTie = ratio(left) === ratio(right);
  return isTie ? left.requests - right.requests : ratio(left) - ratio(right);
}

/** Sums from the end, since subtraction from the total would leave rounding errors as weight. */
function sumWeightsFromEachIndex(demands: readonly TeamDemand[]): readonly number[] {
  const sums: number[] = [];
  let sum = 0;
  for (const { weight } of [...demands].reverse()) {
    sum += weight;
    sums.push(sum);
  }
  return sums.reverse();
}

function exceedsTolerance(requests: number, share: number, slots: number): boolean {
  const { factor, requests: oneProgram, slotsFactor } = TOLERANCE;
  const excess = requests - share;
  return requests > share * factor && excess > Math.max(oneProgram, slots * slotsFactor);
}

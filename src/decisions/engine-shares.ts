/**
 * A team over its share is refused and delayed, so it has to exceed the share clearly: by the
 * tolerance of the overload limit, and by more than the requests that one more program of a small
 * team adds.
 */
const TOLERANCE = { factor: 1.25, requests: 2 } as const;

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
  /** Slots; fractional. */
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
 * requests of its team.
 */
export function computeEngineShares({
  demands,
  slots,
}: EngineSharesInput): ReadonlyMap<string, TeamShare> {
  const requestsOfAll = demands.reduce((sum, { requests }) => sum + requests, 0);
  const isContended = requestsOfAll >= slots;
  const shares = new Map<string, TeamShare>();
  let slotsLeft = slots;
  const ascending = [...demands].sort(compareRequestsPerWeight);
  const weightsFrom = sumWeightsFromEachIndex(ascending);
  for (const [index, { team, requests, weight }] of ascending.entries()) {
    const weightLeft = weightsFrom[index] ?? 0;
    const part = weightLeft > 0 ? weight / weightLeft : 1 / (ascending.length - index);
    const share = Math.min(requests, slotsLeft * part);
    const isOverShare = isContended && exceedsTolerance(requests, share);
    shares.set(team, { team, requests, share, isOverShare });
    slotsLeft = Math.max(0, slotsLeft - share);
  }
  return shares;
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

function exceedsTolerance(requests: number, share: number): boolean {
  return requests > share * TOLERANCE.factor && requests > share + TOLERANCE.requests;
}

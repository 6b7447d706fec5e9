import { type TeamShare, computeEngineShares } from '../decisions';
import type { DemandEntry } from '../targets';
import type { Team } from '../teams';

/** Name under which the requests of callers without a team have a share. */
export const WITHOUT_TEAM = '';

export interface ShareSnapshotOptions {
  readonly entries: readonly DemandEntry[];
  readonly teams: readonly Team[];
  /** Slots of all engines. */
  readonly slots: number;
}

/** Shares of the teams at one time, for the decisions until the next update. */
export class ShareSnapshot {
  readonly slots: number;
  readonly byTeam: ReadonlyMap<string, TeamShare>;

  constructor({ entries, teams, slots }: ShareSnapshotOptions) {
    this.slots = slots;
    const weightOf = createWeights(teams);
    const requestsByTeam = new Map<string, number>();
    for (const [team, , requests] of entries) {
      requestsByTeam.set(team, (requestsByTeam.get(team) ?? 0) + requests);
    }
    const demands = [...requestsByTeam].map(([team, requests]) => ({
      team,
      requests,
      weight: weightOf(team),
    }));
    this.byTeam = computeEngineShares({ demands, slots });
  }
}

/** Quota in requests per second; a team without one has the mean of the others. */
function createWeights(teams: readonly Team[]): (team: string) => number {
  const quotas = new Map<string, number>();
  for (const { name, quota } of teams) {
    if (quota !== undefined) quotas.set(name, quota.requestsPerSecond);
  }
  const sum = [...quotas.values()].reduce((total, quota) => total + quota, 0);
  const mean = sum > 0 ? sum / quotas.size : 1;
  return (team) => quotas.get(team) ?? mean;
}

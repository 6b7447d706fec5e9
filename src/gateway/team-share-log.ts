import type { Clock, Logger, Metrics } from '../core';
import type { TeamShare } from '../decisions';

/** Minimum time between two lines of a team. */
const INTERVAL_MILLISECONDS = 1000;

export interface TeamShareLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Shares on which the lines are based. */
export interface LoggedShares {
  readonly byTeam: ReadonlyMap<string, TeamShare>;
  readonly slots: number;
  readonly ageMilliseconds: number;
}

interface WrittenLine {
  readonly isOverShare: boolean;
  readonly writtenAt: number;
}

/**
 * Logs when a team exceeds its share and when it no longer does. A change within the interval after
 * a line is written with a later update, if it persists.
 */
export class TeamShareLog {
  readonly #options: TeamShareLogOptions;
  readonly #overShare = new Set<string>();
  readonly #lastLines = new Map<string, WrittenLine>();

  constructor(options: TeamShareLogOptions) {
    this.#options = options;
  }

  /** `shares` is undefined while the demand is unknown. */
  update(shares: LoggedShares | undefined): void {
    this.#countChanges(shares);
    for (const team of this.#overShare) this.#write(team, true, shares);
    for (const [team, { isOverShare }] of this.#lastLines) {
      if (isOverShare && !this.#overShare.has(team)) this.#write(team, false, shares);
    }
  }

  #countChanges(shares: LoggedShares | undefined): void {
    for (const team of this.#overShare) {
      if (shares?.byTeam.get(team)?.isOverShare !== true) this.#overShare.delete(team);
    }
    for (const { team, isOverShare } of shares?.byTeam.values() ?? []) {
      if (!isOverShare || this.#overShare.has(team)) continue;
      this.#overShare.add(team);
      this.#options.metrics.count('team_over_share_total');
    }
  }

  #write(team: string, isOverShare: boolean, shares: LoggedShares | undefined): void {
    const { clock, logger } = this.#options;
    const now = clock.monotonic();
    const last = this.#lastLines.get(team);
    if ((last?.isOverShare ?? false) === isOverShare) return;
    if (last !== undefined && now - last.writtenAt < INTERVAL_MILLISECONDS) return;
    this.#lastLines.set(team, { isOverShare, writtenAt: now });
    const { requests = 0, share } = shares?.byTeam.get(team) ?? {};
    logger.info({
      event: isOverShare ? 'team-over-share' : 'team-within-share',
      team,
      requests,
      share: share === undefined ? undefined : Math.round(share * 10) / 10,
      slots: shares?.slots,
      age: shares === undefined ? undefined : Math.round(shares.ageMilliseconds),
    });
  }
}

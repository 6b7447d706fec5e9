import type { RandomSource } from '../core';
import {
  type DecisionSwitches,
  type EngineLoad,
  type FairShareLoad,
  type Refusal,
  countRequestsAhead,
  enginePriority,
  refuseInOverload,
} from '../decisions';
import type { DurationAverages, EngineDemandTracker, TargetChooser } from '../targets';
import type { CurrentShares, FairShares } from './fair-shares';
import { WITHOUT_TEAM } from './share-snapshot';
import type { Turn } from './turn-preparer';

export interface EngineAdmissionOptions {
  readonly chooser: Pick<TargetChooser, 'loadOf'>;
  readonly tracker: Pick<EngineDemandTracker, 'begin'>;
  /** Undefined if the engines are not shared by teams' quotas. */
  readonly fairShares: Pick<FairShares, 'current'> | undefined;
  readonly durations: Pick<DurationAverages, 'averageOf'>;
  readonly switches: DecisionSwitches;
  readonly random: RandomSource;
}

/** Decides on the admission of turns to engines and on their priority there. */
export class EngineAdmission {
  readonly #options: EngineAdmissionOptions;

  constructor(options: EngineAdmissionOptions) {
    this.#options = options;
  }

  /** Returns undefined if the turn may be sent. */
  findRefusal(turn: Turn, startsProgram: boolean): Refusal | undefined {
    const { chooser, switches, random } = this.#options;
    if (!startsProgram || !switches['overload-refusals']) return undefined;
    const { exchange, route } = turn;
    const services = route.services.map(({ service }) => service);
    const engineLoad = chooser.loadOf(services);
    const current = this.#currentShares(turn);
    const fairShare = current && this.#fairShareLoad(turn, engineLoad, current);
    exchange.recordDecision({
      step: 'overload',
      ...engineLoad,
      ...(current && fairShare && describeShare(fairShare, current)),
    });
    const input = { service: services.join(', '), ...engineLoad, startsProgram };
    return refuseInOverload(fairShare === undefined ? input : { ...input, fairShare }, random);
  }

  /**
   * Counts the turn as demand of its team until the returned promise is settled. The priority is
   * undefined if engines are not told one.
   */
  async run<Outcome>(
    turn: Turn,
    send: (priority: number | undefined) => Promise<Outcome>,
  ): Promise<Outcome> {
    const { tracker, switches } = this.#options;
    const priority = switches['engine-priorities'] ? this.#priorityOf(turn) : undefined;
    if (!hasSharedEngines(turn)) return send(priority);
    const { route, exchange } = turn;
    const end = tracker.begin(teamNameOf(turn), enginePriority(route, exchange.team));
    try {
      return await send(priority);
    } finally {
      end();
    }
  }

  #priorityOf(turn: Turn): number {
    const { route, exchange } = turn;
    const shares = this.#currentShares(turn)?.shares;
    if (shares === undefined) return enginePriority(route, exchange.team);
    const isOverShare = shares.byTeam.get(teamNameOf(turn))?.isOverShare === true;
    return enginePriority(route, exchange.team, { isOverShare });
  }

  #currentShares(turn: Turn): CurrentShares | undefined {
    return hasSharedEngines(turn) ? this.#options.fairShares?.current() : undefined;
  }

  /**
   * The load may be that of one of several services or of a sample, while the shares are those of
   * all engines; requests are assumed to be spread evenly over the slots.
   */
  #fairShareLoad(
    turn: Turn,
    { load, slots }: EngineLoad,
    { shares }: CurrentShares,
  ): FairShareLoad {
    const { route } = turn;
    const teamShare = shares.byTeam.get(teamNameOf(turn));
    const scale = slots > 0 ? Math.max(1, shares.slots / slots) : 1;
    const service = route.services[0]?.service ?? '';
    return {
      teamShare,
      ahead: countRequestsAhead({ load: load * scale, shares: shares.byTeam }) / scale,
      averageMilliseconds: this.#options.durations.averageOf(service),
    };
  }
}

/** Whether the turn goes to engines that teams share. */
function hasSharedEngines({ route, table }: Turn): boolean {
  const { teams = [] } = table.configuration;
  return (
    teams.length > 0 &&
    route.services.some(({ service }) => table.service(service)?.engine !== undefined)
  );
}

function teamNameOf({ exchange }: Turn): string {
  return exchange.team?.name ?? WITHOUT_TEAM;
}

/** Fields of the decision in the request's log line. */
function describeShare(
  { ahead, teamShare }: FairShareLoad,
  { ageMilliseconds }: CurrentShares,
): Record<string, unknown> {
  return {
    ahead: Math.round(ahead),
    share: teamShare === undefined ? undefined : Math.round(teamShare.share * 10) / 10,
    requests: teamShare?.requests ?? 0,
    age: Math.round(ageMilliseconds),
  };
}

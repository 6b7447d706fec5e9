import { type RandomSource, SeededRandom, createSilentLogger } from '../../src/core';
import {
  type DecisionSwitches,
  type Refusal,
  countRequestsAhead,
  createPlacementPolicies,
  enginePriority,
  refuseInOverload,
} from '../../src/decisions';
import {
  type PromptPart,
  TargetChooser,
  TargetDirectory,
  type TargetState,
} from '../../src/targets';
import type { SimulatedClock } from './simulated-clock';
import { SimulatedDemand, type TeamShares } from './demand';
import { type EngineParameters, SimulatedEngine } from './engine';
import type { SimulatedTeam } from './teams';

const SERVICE = 'engines';

/** Priority at the engines of turns without a team; any value, since they are all equal. */
const PRIORITY_WITHOUT_TEAM = 5;

/** Weight of a new duration in the average duration of a turn. */
const DURATION_WEIGHT = 0.05;

const ZONES = ['a', 'b', 'c'];

/** Round-trip time between a gateway and an engine. */
const ROUND_TRIP_MILLISECONDS = { sameZone: 1, otherZone: 4 } as const;

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly engines: number;
  readonly gateways: number;
  readonly engineParameters: EngineParameters;
  readonly switches: DecisionSwitches;
  /** Interval at which gateways exchange their numbers of requests in flight. */
  readonly loadIntervalMilliseconds: number;
  readonly seed: number;
  readonly teams: readonly SimulatedTeam[];
}

export interface SimulatedTurn {
  readonly parts: readonly PromptPart[];
  readonly lastTarget: string | undefined;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Whether this is the first turn of its program. */
  readonly startsProgram: boolean;
  readonly team: SimulatedTeam | undefined;
  readonly routePriority: number;
  readonly onEnd: (target: string) => void;
  /** Called if the turn is refused, with the time after which to retry. */
  readonly onRefused: (retryAfterMilliseconds: number) => void;
}

/** Target state and selection of one gateway; both are the production classes. */
interface SimulatedGateway {
  readonly targets: TargetDirectory;
  readonly chooser: TargetChooser;
  readonly availabilityZone: string;
}

/** Gateways and engines in simulated time. */
export class Fleet {
  readonly engines = new Map<string, SimulatedEngine>();
  readonly #options: FleetOptions;
  readonly #gateways: readonly SimulatedGateway[];
  readonly #placementPolicies;
  readonly #random: RandomSource;
  /** Undefined without fair shares. */
  readonly #demand: SimulatedDemand | undefined;
  #averageMilliseconds = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#placementPolicies = createPlacementPolicies(options.switches);
    for (let index = 0; index < options.engines; index += 1) {
      this.engines.set(`e${index}`, new SimulatedEngine(options.engineParameters, options.clock));
    }
    this.#gateways = Array.from({ length: options.gateways }, (_, index) =>
      this.#createGateway(index),
    );
    if (options.switches['shared-loads']) this.#shareLoads();
    this.#demand = createDemand(options);
  }

  /** Removes engines from the target list of all gateways; their requests in flight still complete. */
  removeEngines(isRemoved: (index: number) => boolean): void {
    for (const { targets } of this.#gateways) {
      targets.update(this.#listTargets().filter((_, index) => !isRemoved(index)));
    }
  }

  /** Sends a turn through a random gateway. */
  send(turn: SimulatedTurn): void {
    const { clock } = this.#options;
    const gateway = this.#gateways[Math.floor(this.#random.fraction() * this.#gateways.length)];
    if (gateway === undefined) return;
    const shares = turn.team === undefined ? undefined : this.#demand?.shares;
    const refusal = this.#refuse(gateway, turn, shares);
    if (refusal !== undefined) {
      turn.onRefused((refusal.retryAfterSeconds ?? 0) * 1000);
      return;
    }
    const { parts, lastTarget, cachedTokens, outputTokens } = turn;
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const choice = gateway.chooser.choose({
      service: SERVICE,
      policy: this.#placementPolicies.engine,
      placement: { parts, promptTokens, lastTarget, cachedTokens },
      tried: new Set(),
      connectionLimit: Infinity,
    });
    if (choice === undefined) return;
    const { state } = choice;
    const priority = priorityOf(turn, shares);
    const startedAt = clock.now();
    this.#countDemand(turn, 1);
    state.inFlight += 1;
    const isSameZone = state.target.availabilityZone === gateway.availabilityZone;
    const roundTrip = isSameZone
      ? ROUND_TRIP_MILLISECONDS.sameZone
      : ROUND_TRIP_MILLISECONDS.otherZone;
    const complete = () => {
      state.inFlight -= 1;
      this.#countDemand(turn, -1);
      this.#averageMilliseconds +=
        (clock.now() - startedAt - this.#averageMilliseconds) * DURATION_WEIGHT;
      gateway.chooser.recordParts(
        state,
        parts,
        outputTokens,
        this.#options.engineParameters.memoryTokens,
      );
      turn.onEnd(state.target.id);
    };
    clock.after(roundTrip / 2, () => {
      const onEnd = () => clock.after(roundTrip / 2, complete);
      this.engines.get(state.target.id)?.send({ parts, outputTokens, priority, onEnd });
    });
  }

  #refuse(
    { chooser }: SimulatedGateway,
    turn: SimulatedTurn,
    shares: TeamShares | undefined,
  ): Refusal | undefined {
    if (!this.#options.switches['overload-refusals']) return undefined;
    const load = chooser.loadOf([SERVICE]);
    const fairShare = shares && {
      teamShare: turn.team && shares.get(turn.team.name),
      ahead: countRequestsAhead({ load: load.load, shares }),
      averageMilliseconds: this.#averageMilliseconds,
    };
    const { startsProgram } = turn;
    return refuseInOverload(
      { service: SERVICE, ...load, startsProgram, ...(fairShare && { fairShare }) },
      this.#random,
    );
  }

  #countDemand(turn: SimulatedTurn, change: number): void {
    if (turn.team !== undefined) this.#demand?.add(turn.team.name, change);
  }

  #createGateway(index: number): SimulatedGateway {
    const { clock, seed } = this.#options;
    const context = { clock, random: new SeededRandom(seed * 1000 + index) };
    const targets = new TargetDirectory({
      ...context,
      logger: createSilentLogger(),
      source: { list: () => Promise.resolve([]) },
    });
    targets.update(this.#listTargets());
    const availabilityZone = zoneAt(index);
    const chooser = new TargetChooser({ ...context, targets, availabilityZone });
    return { targets, chooser, availabilityZone };
  }

  #listTargets() {
    const { slots } = this.#options.engineParameters;
    return [...this.engines.keys()].map((id, index) => ({
      ...{ id, service: SERVICE, address: `${id}:80`, slots, draining: false },
      availabilityZone: zoneAt(index),
    }));
  }

  /** Sets at each gateway the requests in flight from the others, and repeats after the interval. */
  #shareLoads(): void {
    const { clock, loadIntervalMilliseconds } = this.#options;
    const totals = new Map<string, number>();
    const statesOf = ({ targets }: SimulatedGateway): readonly TargetState[] => [...targets.all()];
    for (const state of this.#gateways.flatMap(statesOf)) {
      const { id } = state.target;
      totals.set(id, (totals.get(id) ?? 0) + state.inFlight);
    }
    for (const gateway of this.#gateways) {
      for (const state of statesOf(gateway)) {
        state.inFlightFromOthers = (totals.get(state.target.id) ?? 0) - state.inFlight;
      }
      gateway.targets.markLoadsUpdated();
    }
    clock.after(loadIntervalMilliseconds, () => {
      this.#shareLoads();
    });
  }
}

function createDemand(options: FleetOptions): SimulatedDemand | undefined {
  const { clock, engines, engineParameters, switches, teams } = options;
  if (!switches['fair-shares'] || teams.length === 0) return undefined;
  return new SimulatedDemand(clock, engines * engineParameters.slots, teams);
}

function priorityOf(
  { team, routePriority }: SimulatedTurn,
  shares: TeamShares | undefined,
): number {
  if (team === undefined) return PRIORITY_WITHOUT_TEAM;
  const isOverShare = shares?.get(team.name)?.isOverShare === true;
  return enginePriority({ priority: routePriority }, team, shares && { isOverShare });
}

function zoneAt(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

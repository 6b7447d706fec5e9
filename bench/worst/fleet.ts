import { type RandomSource, SeededRandom, createSilentLogger } from '../../src/core';
import {
  type DecisionSwitches,
  type Refusal,
  createPlacementPolicies,
  refuseInOverload,
} from '../../src/decisions';
import {
  type PromptPart,
  TargetChooser,
  TargetDirectory,
  type TargetState,
} from '../../src/targets';
import type { Calendar } from './calendar';
import { type EngineFacts, SimulatedEngine } from './engine';

const SERVICE = 'engines';

const ZONES = ['a', 'b', 'c'];

/** Time from a gateway to an engine and back; milliseconds. */
const WAY_MILLISECONDS = { near: 1, far: 4 } as const;

export interface FleetOptions {
  readonly calendar: Calendar;
  readonly engines: number;
  readonly gateways: number;
  readonly facts: EngineFacts;
  readonly switches: DecisionSwitches;
  /** Pause between two times at which gateways learn what the others have under way; milliseconds. */
  readonly loadPause: number;
  readonly seed: number;
}

/** A turn as a gateway gets it. */
export interface SimulatedTurn {
  readonly parts: readonly PromptPart[];
  readonly lastTarget: string | undefined;
  readonly heldTokens: number;
  readonly outputTokens: number;
  /** Whether it is the first of its program. */
  readonly startsProgram: boolean;
  readonly onEnd: (target: string) => void;
  /** Told of a refusal, with the pause that it asks for; milliseconds. */
  readonly onRefused: (pause: number) => void;
}

/** One gateway with what it knows; the decisions are the product's own. */
interface SimulatedGateway {
  readonly targets: TargetDirectory;
  readonly chooser: TargetChooser;
  readonly availabilityZone: string;
}

/** Gateways before engines, in simulated time. */
export class Fleet {
  readonly engines = new Map<string, SimulatedEngine>();
  readonly #options: FleetOptions;
  readonly #gateways: readonly SimulatedGateway[];
  readonly #placers;
  readonly #random: RandomSource;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#placers = createPlacementPolicies(options.switches);
    for (let index = 0; index < options.engines; index += 1) {
      this.engines.set(`e${index}`, new SimulatedEngine(options.facts, options.calendar));
    }
    this.#gateways = Array.from({ length: options.gateways }, (_, index) =>
      this.#createGateway(index),
    );
    if (options.switches['shared-loads']) this.#tellLoads();
  }

  /** Takes engines off the list of all gateways; what they have under way ends. */
  remove(isGone: (index: number) => boolean): void {
    for (const { targets } of this.#gateways) {
      targets.update(this.#list().filter((_, index) => !isGone(index)));
    }
  }

  /** Places a turn from one of the gateways. */
  send(turn: SimulatedTurn): void {
    const { calendar } = this.#options;
    const gateway = this.#gateways[Math.floor(this.#random.fraction() * this.#gateways.length)];
    if (gateway === undefined) return;
    const refusal = this.#refuse(gateway, turn);
    if (refusal !== undefined) {
      turn.onRefused((refusal.retryAfterSeconds ?? 0) * 1000);
      return;
    }
    const { parts, lastTarget, heldTokens, outputTokens } = turn;
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const placed = gateway.chooser.choose({
      service: SERVICE,
      policy: this.#placers.engine,
      placement: { parts, promptTokens, lastTarget, cachedTokens: heldTokens },
      tried: new Set(),
      connectionLimit: Infinity,
    });
    if (placed === undefined) return;
    const { state } = placed;
    state.inFlight += 1;
    const isNear = state.target.availabilityZone === gateway.availabilityZone;
    const way = isNear ? WAY_MILLISECONDS.near : WAY_MILLISECONDS.far;
    const end = () => {
      state.inFlight -= 1;
      gateway.chooser.recordParts(state, parts, outputTokens, this.#options.facts.memoryTokens);
      turn.onEnd(state.target.id);
    };
    calendar.after(way / 2, () => {
      const onEnd = () => calendar.after(way / 2, end);
      this.engines.get(state.target.id)?.send({ parts, outputTokens, onEnd });
    });
  }

  #refuse({ chooser }: SimulatedGateway, { startsProgram }: SimulatedTurn): Refusal | undefined {
    if (!this.#options.switches['overload-refusals']) return undefined;
    const load = chooser.loadOf([SERVICE]);
    return refuseInOverload({ service: SERVICE, ...load, startsProgram }, this.#random);
  }

  #createGateway(index: number): SimulatedGateway {
    const { calendar, seed } = this.#options;
    const parts = { clock: calendar, random: new SeededRandom(seed * 1000 + index) };
    const targets = new TargetDirectory({
      ...parts,
      logger: createSilentLogger(),
      source: { list: () => Promise.resolve([]) },
    });
    targets.update(this.#list());
    const availabilityZone = zoneAt(index);
    const chooser = new TargetChooser({ ...parts, targets, availabilityZone });
    return { targets, chooser, availabilityZone };
  }

  #list() {
    const { slots } = this.#options.facts;
    return [...this.engines.keys()].map((id, index) => ({
      ...{ id, service: SERVICE, address: `${id}:80`, slots, draining: false },
      availabilityZone: zoneAt(index),
    }));
  }

  /** Each gateway learns what all others had under way just now, and keeps that until the next time. */
  #tellLoads(): void {
    const { calendar, loadPause } = this.#options;
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
    calendar.after(loadPause, () => {
      this.#tellLoads();
    });
  }
}

function zoneAt(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

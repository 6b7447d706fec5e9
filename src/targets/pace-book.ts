import type { Clock } from '../core';
import {
  PRIOR_PACE,
  ServicePace,
  type Slowness,
  type TurnObservation,
  type TurnPace,
  USUAL_SLOWNESS,
  nextSlowness,
  slownessAt,
} from '../decisions';

/** How much longer some turns took at a target than is usual at its load. */
export interface TurnRatios {
  readonly target: string;
  readonly count: number;
  /** Sum of the logarithms of the turns' ratios. */
  readonly logarithms: number;
}

/** A target whose turns take longer, and how many times. */
export type SlowTarget = readonly [target: string, slowness: number];

/** Targets of which slowness is remembered; an engine that is gone is forgotten with time. */
const TARGET_LIMIT = 4096;

export interface PaceBookOptions {
  readonly clock: Clock;
  /** Whether choices go by what was learned; by the prior otherwise. */
  readonly learns?: boolean;
}

/** What turns take at the engines of each service, and which engines are slower than the others. */
export class PaceBook {
  readonly #clock: Clock;
  readonly #learns: boolean;
  readonly #services = new Map<string, ServicePace>();
  /** What this process has seen since it last told. */
  #fresh = new Map<string, TurnRatios>();
  /** What all gateways have seen, where this process adds that up. */
  readonly #slowness = new Map<string, Slowness>();

  constructor({ clock, learns = true }: PaceBookOptions) {
    this.#clock = clock;
    this.#learns = learns;
  }

  paceOf(service: string): TurnPace {
    return this.#learns ? this.#service(service).pace : PRIOR_PACE;
  }

  note(service: string, target: string, turn: TurnObservation): void {
    const logarithm = Math.log(this.#service(service).note(turn));
    const { count, logarithms } = this.#fresh.get(target) ?? { count: 0, logarithms: 0 };
    this.#fresh.set(target, { target, count: count + 1, logarithms: logarithms + logarithm });
  }

  /** What was seen since the last call. */
  takeFresh(): readonly TurnRatios[] {
    const fresh = [...this.#fresh.values()];
    this.#fresh = new Map();
    return fresh;
  }

  /** Adds what a gateway has seen. */
  add(ratios: readonly TurnRatios[]): void {
    const now = this.#clock.monotonic();
    for (const turns of ratios) {
      const known = this.#slowness.get(turns.target) ?? USUAL_SLOWNESS;
      this.#slowness.delete(turns.target);
      this.#slowness.set(turns.target, nextSlowness(known, turns, now));
    }
    for (const target of this.#slowness.keys()) {
      if (this.#slowness.size <= TARGET_LIMIT) break;
      this.#slowness.delete(target);
    }
  }

  /** The targets that are slower than chance explains, as far as `add` was told. */
  slowTargets(): readonly SlowTarget[] {
    const now = this.#clock.monotonic();
    const slow: SlowTarget[] = [];
    for (const [target, known] of this.#slowness) {
      const slowness = slownessAt(known, now);
      if (slowness > 1) slow.push([target, Math.round(slowness * 10) / 10]);
    }
    return slow;
  }

  #service(name: string): ServicePace {
    const known = this.#services.get(name) ?? new ServicePace();
    this.#services.set(name, known);
    return known;
  }
}

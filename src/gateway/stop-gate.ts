import type { PlannedStop } from '../core';
import { type Refusal, STOPPING, neededMilliseconds } from '../decisions';
import type { Route } from '../routes';
import type { DurationAverages } from '../targets';
import type { Exchange } from './exchange';

export interface StopGateOptions {
  readonly plannedStop: Pick<PlannedStop, 'hasBegun' | 'canComplete'>;
  readonly durations: Pick<DurationAverages, 'measuredAverageOf'>;
}

/** Refuses the requests that may outlast a planned stop, before a target runs them. */
export class StopGate {
  readonly #options: StopGateOptions;

  constructor(options: StopGateOptions) {
    this.#options = options;
  }

  /** Returns undefined if the request may be sent to a target. */
  findRefusal(exchange: Exchange, { kind, services }: Route): Refusal | undefined {
    const { plannedStop, durations } = this.#options;
    if (!plannedStop.hasBegun) return undefined;
    const averages = services.map(({ service }) => durations.measuredAverageOf(service) ?? 0);
    const { remainingMilliseconds } = exchange;
    const averageMilliseconds = Math.max(0, ...averages);
    const needed = neededMilliseconds({ kind, remainingMilliseconds, averageMilliseconds });
    if (plannedStop.canComplete(needed)) return undefined;
    exchange.recordDecision({ step: 'stop', needed: Math.round(needed) });
    return STOPPING;
  }
}

import type { Clock, Metrics, RandomSource } from '../core';
import {
  type DecisionSwitches,
  NO_ATTEMPTS,
  type NextStep,
  type PlacementPolicies,
  type Refusal,
  type AttemptCounts,
  decideNext,
  mayHedge,
  refuseAfterDeadline,
  refuseUnknownOutcome,
  refuseWithoutTarget,
} from '../decisions';
import type { Route, RouteTable } from '../routes';
import { pickService } from '../routes';
import type {
  Placement,
  PlacementRequest,
  TargetChooser,
  TargetDirectory,
  DurationAverages,
} from '../targets';
import type { AttemptOutcome } from './attempt';
import type { KeyGuard } from './key-guard';
import { RequestHedger, type HedgedResult } from './request-hedger';
import type { SendRequest, Sender } from './sender';

export interface ForwarderOptions {
  readonly targets: TargetDirectory;
  readonly chooser: Pick<TargetChooser, 'choose'>;
  readonly placementPolicies: PlacementPolicies;
  readonly sender: Pick<Sender, 'send'>;
  readonly keyGuard: Pick<KeyGuard, 'recheck'>;
  readonly durations: Pick<DurationAverages, 'averageOf'>;
  readonly switches: DecisionSwitches;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
}

/** A request to be sent to a target of a route. */
export interface ForwardRequest extends SendRequest {
  readonly route: Route;
  readonly table: RouteTable;
  readonly placement: PlacementRequest;
}

/** Final result of a request, after all attempts. */
export type ForwardOutcome =
  | Extract<AttemptOutcome, { kind: 'answered' | 'streamed' }>
  | {
      readonly kind: 'caller-disconnected';
      /** Whether it is certain that no target has run the request. */
      readonly isNotRun: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** Whether part of a response was already sent to the caller. */
      readonly began: boolean;
      /** Whether it is certain that no target has run the request. */
      readonly isNotRun: boolean;
    };

/** State of a request across its attempts. */
interface ForwardProgress {
  readonly request: ForwardRequest;
  readonly service: string;
  /** Ids of targets. */
  readonly tried: Set<string>;
}

/** Sends requests to targets and retries those that did not run, or may safely run again. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #hedger: RequestHedger;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#hedger = new RequestHedger(options);
  }

  async forward(request: ForwardRequest): Promise<ForwardOutcome> {
    const { exchange, route } = request;
    const service = pickService(route.services, this.#options.random.fraction())?.service ?? '';
    const progress: ForwardProgress = { request, service, tried: new Set() };
    let attempts = NO_ATTEMPTS;
    for (;;) {
      if (exchange.hasDisconnected()) {
        return { kind: 'caller-disconnected', isNotRun: !attempts.mayHaveRun };
      }
      if (exchange.remainingMilliseconds <= 0) {
        return refuse(refuseAfterDeadline(attempts.mayHaveRun), attempts);
      }
      const forbidden = this.#options.keyGuard.recheck(exchange);
      if (forbidden !== undefined) {
        const refusal = attempts.mayHaveRun ? refuseUnknownOutcome(forbidden.message) : forbidden;
        return refuse(refusal, attempts);
      }
      const placement = this.#chooseTarget(progress);
      if (placement === undefined) return this.#refuseExhausted(progress, attempts);
      const { outcome, attemptCount } = await this.#attempt(placement, progress, attempts);
      attempts = { ...attempts, reached: attempts.reached + attemptCount - 1 };
      const next = this.#decideNext(request, attempts, outcome);
      switch (next.kind) {
        case 'deliver':
          return outcome as Extract<AttemptOutcome, { kind: 'answered' | 'streamed' }>;
        case 'caller-left':
          return { kind: 'caller-disconnected', isNotRun: next.isNotRun };
        case 'refuse':
          return { ...next, kind: 'refused' };
        case 'exhausted':
          return this.#refuseExhausted(progress, next.attemptCounts);
        case 'try-another':
          attempts = next.attemptCounts;
      }
    }
  }

  #decideNext(
    { route, exchange }: ForwardRequest,
    attempts: AttemptCounts,
    outcome: AttemptOutcome,
  ): NextStep {
    const { retries } = this.#options.switches;
    return decideNext({
      route,
      attemptCounts: attempts,
      outcome,
      hasCallerDisconnected: exchange.hasDisconnected(),
      retries,
    });
  }

  /** Makes one attempt, which is hedged if the route allows it and the response is late. */
  async #attempt(
    placement: Placement,
    progress: ForwardProgress,
    attempts: AttemptCounts,
  ): Promise<HedgedResult> {
    const { switches, sender, metrics } = this.#options;
    const { request } = progress;
    const first = sender.send(placement, request);
    if (!switches['second-sends'] || !mayHedge(request.route, attempts)) {
      return { outcome: await first, attemptCount: 1 };
    }
    return this.#hedger.run({
      route: request.route.name,
      first,
      startSecondAttempt: () => {
        const isAllowed = this.#options.keyGuard.recheck(request.exchange) === undefined;
        const other = isAllowed ? this.#chooseTarget(progress) : undefined;
        if (other === undefined) return undefined;
        metrics.count('second_sends_total');
        return sender.send(other, request);
      },
    });
  }

  #chooseTarget({ request, service, tried }: ForwardProgress): Placement | undefined {
    const { placementPolicies, chooser } = this.#options;
    const settings = request.table.service(service);
    const placement = chooser.choose({
      service,
      policy: settings?.engine === undefined ? placementPolicies.slot : placementPolicies.engine,
      placement: request.placement,
      tried,
      connectionLimit: settings?.connectionLimit ?? Infinity,
    });
    if (placement !== undefined) tried.add(placement.state.target.id);
    return placement;
  }

  #refuseExhausted({ service }: ForwardProgress, attempts: AttemptCounts): ForwardOutcome {
    if (attempts.mayHaveRun) return refuse(refuseUnknownOutcome('all tries failed'), attempts);
    const { targets, durations } = this.#options;
    const loads = targets
      .ofService(service)
      .all.map(({ load, target }) => ({ load, slots: target.slots }));
    return refuse(refuseWithoutTarget(service, loads, durations.averageOf(service)), attempts);
  }
}

function refuse(refusal: Refusal, { mayHaveRun }: AttemptCounts): ForwardOutcome {
  return { kind: 'refused', refusal, began: false, isNotRun: !mayHaveRun };
}

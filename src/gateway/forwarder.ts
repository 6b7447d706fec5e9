import type { Clock, Metrics, RandomSource } from '../core';
import type { CrashGuard, RequestCrashes } from '../crashes';
import {
  type DecisionSwitches,
  NO_ATTEMPTS,
  type NextStep,
  type PlacementPolicies,
  type PlacementPolicy,
  type Refusal,
  type AttemptCounts,
  decideNext,
  mayHedge,
  refuseUnfinished,
  refuseUnknownOutcome,
  refuseWithoutTarget,
} from '../decisions';
import type { Route, RouteTable } from '../routes';
import { canonicalHostName, pickService } from '../routes';
import type {
  Placement,
  PlacementRequest,
  TargetChooser,
  TargetDirectory,
  DurationAverages,
} from '../targets';
import type { AttemptOutcome } from './attempt';
import type { Exchange } from './exchange';
import type { KeyGuard } from './key-guard';
import { RequestHedger, type HedgedResult } from './request-hedger';
import type { SendRequest, Sender } from './sender';
import type { StopGate } from './stop-gate';

export interface ForwarderOptions {
  readonly targets: TargetDirectory;
  readonly chooser: Pick<TargetChooser, 'choose'>;
  readonly placementPolicies: PlacementPolicies;
  readonly sender: Pick<Sender, 'send'>;
  readonly keyGuard: Pick<KeyGuard, 'recheck'>;
  /** Without it, a request may end any number of targets. */
  readonly crashGuard?: Pick<CrashGuard, 'track'> | undefined;
  /** Without it, requests are taken regardless of a planned stop. */
  readonly stopGate?: Pick<StopGate, 'findRefusal'> | undefined;
  readonly durations: Pick<DurationAverages, 'averageOf'>;
  readonly switches: DecisionSwitches;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
}

/** A request to be sent to a target of a route. */
export interface ForwardRequest extends Omit<SendRequest, 'crashes'> {
  /** The body as the caller sent it, without the turns that it continues. */
  readonly input: Buffer | null;
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
  readonly crashes: RequestCrashes | undefined;
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
    const crashes = this.#trackCrashes(request);
    const progress: ForwardProgress = { request, crashes, service, tried: new Set() };
    let attempts = NO_ATTEMPTS;
    for (;;) {
      const stopped = crashes?.needsCheck === true ? await crashes.findRefusal() : undefined;
      if (stopped !== undefined) return refuse(stopped, attempts);
      if (exchange.hasDisconnected()) {
        return { kind: 'caller-disconnected', isNotRun: !attempts.mayHaveRun };
      }
      if (exchange.remainingMilliseconds <= 0) {
        return refuse(refuseUnfinished(attempts.mayHaveRun, exchange.isEndedByStop), attempts);
      }
      const stopping = attempts.mayHaveRun ? undefined : this.#findStopRefusal(request);
      if (stopping !== undefined) return refuse(stopping, attempts);
      const forbidden = this.#options.keyGuard.recheck(exchange);
      if (forbidden !== undefined) {
        const refusal = attempts.mayHaveRun ? refuseUnknownOutcome(forbidden.message) : forbidden;
        return refuse(refusal, attempts);
      }
      const placement = this.#chooseTarget(progress);
      if (placement === undefined) return this.#refuseExhausted(progress, attempts);
      if (!(await isAnnounced(crashes, placement, exchange))) continue;
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

  #findStopRefusal({ exchange, route }: ForwardRequest): Refusal | undefined {
    return this.#options.stopGate?.findRefusal(exchange, route);
  }

  #trackCrashes({ exchange, input }: ForwardRequest): RequestCrashes | undefined {
    const { head, team, request } = exchange;
    return this.#options.crashGuard?.track({
      id: head.id ?? '',
      program: head.program,
      caller: exchange.callerAddress,
      identity: () => ({
        team: team?.name,
        host: canonicalHostName(request.headers.host ?? ''),
        method: request.method ?? '',
        path: request.url ?? '',
        program: head.program,
        previousTurn: head.previousTurn,
        body: input,
      }),
      recordDecision: (decision) => {
        exchange.recordDecision(decision);
      },
    });
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
      isEndedByStop: exchange.isEndedByStop,
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
    const { request, crashes } = progress;
    const tracked = { ...request, crashes };
    const first = sender.send(placement, tracked);
    if (!switches['second-sends'] || !mayHedge(request.route, attempts)) {
      return { outcome: await first, attemptCount: 1 };
    }
    return this.#hedger.run({
      route: request.route.name,
      first,
      startSecondAttempt: () => {
        const isSafe = crashes === undefined || crashes.mayHedge;
        const isAllowed =
          isSafe &&
          !request.exchange.isEndedByStop &&
          this.#options.keyGuard.recheck(request.exchange) === undefined;
        const other = isAllowed ? this.#chooseTarget(progress) : undefined;
        if (other === undefined) return undefined;
        metrics.count('second_sends_total');
        return sender.send(other, tracked);
      },
    });
  }

  /** A target that may have ended under the request is chosen only if there is no other. */
  #chooseTarget(progress: ForwardProgress): Placement | undefined {
    const { crashes, tried } = progress;
    const exposed = crashes?.exposedTargets ?? [];
    const placement =
      this.#chooseExcept(progress, new Set([...tried, ...exposed])) ??
      this.#chooseExcept(progress, tried);
    if (placement !== undefined) tried.add(placement.state.target.id);
    return placement;
  }

  #chooseExcept(progress: ForwardProgress, tried: ReadonlySet<string>): Placement | undefined {
    const { request, service } = progress;
    const settings = request.table.service(service);
    return this.#options.chooser.choose({
      service,
      policy: this.#policyFor(progress),
      placement: request.placement,
      tried,
      connectionLimit: settings?.connectionLimit ?? Infinity,
    });
  }

  /** A suspect request goes where the fewest others would lose their target. */
  #policyFor({ request, service, crashes }: ForwardProgress): PlacementPolicy {
    const { slot, engine, leastLoad } = this.#options.placementPolicies;
    if (crashes?.isSuspect === true) return leastLoad;
    return request.table.service(service)?.engine === undefined ? slot : engine;
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

/** Whether the request may be sent to the target; it may have been cancelled meanwhile. */
async function isAnnounced(
  crashes: RequestCrashes | undefined,
  { state }: Placement,
  exchange: Exchange,
): Promise<boolean> {
  if (crashes?.needsCheck !== true) return true;
  if (!(await crashes.announce(state))) return false;
  if (!exchange.hasDisconnected() && !exchange.isEndedByStop) return true;
  crashes.recordResolved(state);
  return false;
}

function refuse(refusal: Refusal, { mayHaveRun }: AttemptCounts): ForwardOutcome {
  return { kind: 'refused', refusal, began: false, isNotRun: !mayHaveRun };
}

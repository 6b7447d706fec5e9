import type { Clock, Metrics, RandomSource } from '../core';
import {
  type DecisionSwitches,
  NO_TRIES,
  type NextStep,
  type Placers,
  type Refusal,
  type Tries,
  decideNext,
  mayBeSentTwice,
  refuseAsTooLate,
  refuseAsUnknown,
  refuseWithoutTarget,
} from '../decisions';
import type { Route, RouteTable } from '../routes';
import { pickService } from '../routes';
import type {
  Placement,
  PlacementRequest,
  TargetChooser,
  TargetDirectory,
  UsualDurations,
} from '../targets';
import type { AttemptOutcome } from './attempt';
import type { KeyGuard } from './key-guard';
import { SecondSend, type SecondSendResult } from './second-send';
import type { SendRequest, Sender } from './sender';

export interface ForwarderOptions {
  readonly targets: TargetDirectory;
  readonly chooser: Pick<TargetChooser, 'choose'>;
  readonly placers: Placers;
  readonly sender: Pick<Sender, 'send'>;
  readonly keyGuard: Pick<KeyGuard, 'recheck'>;
  readonly durations: Pick<UsualDurations, 'of'>;
  readonly switches: DecisionSwitches;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
}

/** A request on its way to the targets of a route. */
export interface ForwardRequest extends SendRequest {
  readonly route: Route;
  readonly table: RouteTable;
  readonly placement: PlacementRequest;
}

/** How a request ended at the targets. */
export type ForwardOutcome =
  | Extract<AttemptOutcome, { kind: 'answered' | 'streamed' }>
  | { readonly kind: 'gone' }
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** Whether a part of an answer went to the caller already. */
      readonly began: boolean;
      /** Whether it is certain that no target has run the request. */
      readonly isNotRun: boolean;
    };

/** One request's service and the targets that were tried. */
interface Course {
  readonly request: ForwardRequest;
  readonly service: string;
  readonly tried: Set<string>;
}

/** Sends requests to targets, again where it is certain that nothing is done twice. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #secondSend: SecondSend;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#secondSend = new SecondSend(options);
  }

  async forward(request: ForwardRequest): Promise<ForwardOutcome> {
    const { exchange, route } = request;
    const service = pickService(route.services, this.#options.random.fraction())?.service ?? '';
    const course: Course = { request, service, tried: new Set() };
    let tries = NO_TRIES;
    for (;;) {
      if (exchange.hasLeft()) return { kind: 'gone' };
      if (exchange.remainingMilliseconds <= 0) {
        return refuse(refuseAsTooLate(tries.mayHaveRun), tries);
      }
      const forbidden = this.#options.keyGuard.recheck(exchange);
      if (forbidden !== undefined) {
        const refusal = tries.mayHaveRun ? refuseAsUnknown(forbidden.message) : forbidden;
        return refuse(refusal, tries);
      }
      const placement = this.#place(course);
      if (placement === undefined) return this.#refuseExhausted(course, tries);
      const { outcome, sends } = await this.#try(placement, course, tries);
      tries = { ...tries, reached: tries.reached + sends - 1 };
      const next = this.#decideNext(request, tries, outcome);
      switch (next.kind) {
        case 'deliver':
          return outcome as Extract<AttemptOutcome, { kind: 'answered' | 'streamed' }>;
        case 'caller-left':
          return { kind: 'gone' };
        case 'refuse':
          return { ...next, kind: 'refused' };
        case 'exhausted':
          return this.#refuseExhausted(course, next.tries);
        case 'try-another':
          tries = next.tries;
      }
    }
  }

  #decideNext(
    { route, exchange }: ForwardRequest,
    tries: Tries,
    outcome: AttemptOutcome,
  ): NextStep {
    const { retries } = this.#options.switches;
    return decideNext({ route, tries, outcome, hasCallerLeft: exchange.hasLeft(), retries });
  }

  /** Tries a target; a late call that may be repeated goes to a second one too. */
  async #try(placement: Placement, course: Course, tries: Tries): Promise<SecondSendResult> {
    const { switches, sender, metrics } = this.#options;
    const { request } = course;
    const first = sender.send(placement, request);
    if (!switches['second-sends'] || !mayBeSentTwice(request.route, tries)) {
      return { outcome: await first, sends: 1 };
    }
    return this.#secondSend.run({
      route: request.route.name,
      first,
      sendAgain: () => {
        const isAllowed = this.#options.keyGuard.recheck(request.exchange) === undefined;
        const other = isAllowed ? this.#place(course) : undefined;
        if (other === undefined) return undefined;
        metrics.count('second_sends_total');
        return sender.send(other, request);
      },
    });
  }

  #place({ request, service, tried }: Course): Placement | undefined {
    const { placers, chooser } = this.#options;
    const settings = request.table.service(service);
    const placement = chooser.choose({
      service,
      placer: settings?.engine === undefined ? placers.slot : placers.engine,
      placement: request.placement,
      tried,
      connectionLimit: settings?.connectionLimit ?? Infinity,
    });
    if (placement !== undefined) tried.add(placement.state.target.id);
    return placement;
  }

  #refuseExhausted({ service }: Course, tries: Tries): ForwardOutcome {
    if (tries.mayHaveRun) return refuse(refuseAsUnknown('all tries failed'), tries);
    const { targets, durations } = this.#options;
    const loads = targets
      .ofService(service)
      .all.map(({ load, target }) => ({ load, slots: target.slots }));
    return refuse(refuseWithoutTarget(service, loads, durations.of(service)), tries);
  }
}

function refuse(refusal: Refusal, { mayHaveRun }: Tries): ForwardOutcome {
  return { kind: 'refused', refusal, began: false, isNotRun: !mayHaveRun };
}

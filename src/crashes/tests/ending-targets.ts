import type { Dispatcher } from 'undici';
import type { EventClock } from '../../turns/tests/event-clock';
import type { ListedTarget, TargetConnection, TargetState } from '../../targets';
import type { ProbeResult, ProbedTarget } from '../target-prober';
import { BEHAVIOUR_HEADER, REQUEST_HEADER, valueOf } from './simulated-targets';

const LATENCY_MILLISECONDS = 1;

/** Time from the start of a request until its response begins. */
const RESPONSE_MILLISECONDS = 10;

/** Time from the response to a fatal request until its target ends. */
const RESPONSE_BEFORE_END_MILLISECONDS = 40;

/** Time from the start of a fatal request until its target ends. */
const END_MILLISECONDS = 50;

/** As above, for a target that is listed as draining by then. */
const DRAINING_MILLISECONDS = 900;

const PROBE_TIMEOUT_MILLISECONDS = 250;

const RETURN_MILLISECONDS = 600;

/** What a target sends of its response to a fatal request before it ends. */
export const RESPONSES = ['nothing', 'its beginning', 'an error', 'all of it'] as const;

/** How a target ends. */
export const ENDS = [
  'closes its connections',
  'falls silent',
  'drains before',
  'is back at once',
  'listens on for a while',
  'answers others for a while',
] as const;

/** Time after which the list shows that a target ended. */
export const LIST_LAGS = [1000, 8000] as const;

export interface FatalEnd {
  readonly response: (typeof RESPONSES)[number];
  readonly end: (typeof ENDS)[number];
  readonly listLagMilliseconds: (typeof LIST_LAGS)[number];
}

/** Time from the start of a fatal request until its target ends. */
export function endDelayOf(end: FatalEnd['end']): number {
  return end === 'drains before' ? DRAINING_MILLISECONDS : END_MILLISECONDS;
}

interface Target {
  readonly address: string;
  id: string;
  bornAt: number;
  draining: boolean;
  endedAt: number;
  /** Time from which on it answers again, under its next id. */
  returnsAt: number;
  /** Called when it ends. */
  readonly inFlight: Set<() => void>;
}

export interface EndingTargetsOptions extends FatalEnd {
  readonly count: number;
  readonly clock: EventClock;
  /** Called with the request under which a target ends. */
  readonly onEnd: (request: string) => void;
}

/** Targets each of which ends under a fatal request in one of the ways of {@link FatalEnd}. */
export class EndingTargets {
  readonly #options: EndingTargetsOptions;
  readonly #targets: readonly Target[];
  #lastId = 0;

  constructor(options: EndingTargetsOptions) {
    this.#options = options;
    this.#targets = Array.from({ length: options.count }, (_, index) => ({
      ...{ address: `10.0.0.${index}:80`, id: this.#nextId(), bornAt: 0, draining: false },
      ...{ endedAt: Infinity, returnsAt: -Infinity, inFlight: new Set<() => void>() },
    }));
  }

  list(): readonly ListedTarget[] {
    const { clock, listLagMilliseconds } = this.#options;
    return this.#targets
      .filter((target) => this.#isUp(target) || clock.now() - target.endedAt < listLagMilliseconds)
      .map(({ address, id, bornAt, draining }) => ({
        ...{ address, id, bornAt, draining, service: 's', availabilityZone: 'a', slots: 8 },
      }));
  }

  probe({ address, id }: ProbedTarget): Promise<ProbeResult> {
    return new Promise((resolve) => {
      this.#options.clock.after(LATENCY_MILLISECONDS, () => {
        const target = this.#at(address);
        if (this.#isUp(target)) resolve(target.id === id ? 'accepted' : 'reused');
        else if (this.#options.end !== 'falls silent') {
          resolve(this.#isClosing(target) ? 'accepted' : 'refused');
        } else {
          this.#options.clock.after(PROBE_TIMEOUT_MILLISECONDS, () => {
            resolve('silent');
          });
        }
      });
    });
  }

  connect({ target: { address, id } }: TargetState): TargetConnection {
    return {
      dispatch: ({ headers }, handler) => {
        this.#options.clock.after(LATENCY_MILLISECONDS, () => {
          const text = headers as readonly string[];
          const request = valueOf(text, REQUEST_HEADER);
          const isFatal = valueOf(text, BEHAVIOUR_HEADER) === 'ends';
          this.#run({ target: this.#at(address), id, request, isFatal, handler });
        });
      },
      ending: () => 'open',
      beforePause: () => undefined,
      resume: (resume: () => void) => {
        resume();
      },
      release: () => undefined,
      discard: () => undefined,
    };
  }

  #run({
    target,
    id,
    request,
    isFatal,
    handler,
  }: {
    readonly target: Target;
    readonly id: string;
    readonly request: string;
    readonly isFatal: boolean;
    readonly handler: Dispatcher.DispatchHandler;
  }): void {
    const { clock, end } = this.#options;
    const response = new Response(handler);
    if (!this.#isUp(target)) {
      if (end === 'falls silent') response.start();
      else response.fail('connect ECONNREFUSED');
      return;
    }
    response.start();
    // An attempt that was cancelled before its connection was established is not sent.
    if (response.isAborted) return;
    if (target.id !== id) {
      response.respond(421);
      return;
    }
    const lose = () => {
      if (end !== 'falls silent') response.fail('other side closed');
    };
    target.inFlight.add(lose);
    if (isFatal && end === 'drains before') target.draining = true;
    const responseDelay = isFatal
      ? endDelayOf(end) - RESPONSE_BEFORE_END_MILLISECONDS
      : RESPONSE_MILLISECONDS;
    clock.after(responseDelay, () => {
      const mayRespond = target.inFlight.has(lose) || this.#isAnsweringOthers(target);
      if (!mayRespond) return;
      if (isFatal) this.#respondBeforeEnd(response);
      else response.respond(200);
      if (!isFatal) target.inFlight.delete(lose);
    });
    if (!isFatal) return;
    clock.after(endDelayOf(end), () => {
      if (target.id === id && this.#isUp(target)) this.#end(target, request);
    });
  }

  #respondBeforeEnd(response: Response): void {
    switch (this.#options.response) {
      case 'nothing':
        return;
      case 'its beginning':
        response.begin(200);
        return;
      case 'an error':
        response.respond(500);
        return;
      case 'all of it':
        response.respond(200);
    }
  }

  #end(target: Target, request: string): void {
    const { clock, end, onEnd } = this.#options;
    const isBackAtOnce = end === 'is back at once';
    onEnd(request);
    target.endedAt = clock.now();
    target.returnsAt = clock.now() + (isBackAtOnce ? 0 : RETURN_MILLISECONDS);
    const id = this.#nextId();
    const lost = [...target.inFlight];
    target.inFlight.clear();
    for (const lose of lost) lose();
    const comeBack = () => {
      target.id = id;
      target.bornAt = clock.now();
      target.draining = false;
      target.endedAt = Infinity;
    };
    if (isBackAtOnce) comeBack();
    else clock.after(RETURN_MILLISECONDS, comeBack);
  }

  #isUp({ endedAt }: Target): boolean {
    return endedAt > this.#options.clock.now();
  }

  #isClosing({ endedAt }: Target): boolean {
    const sinceEnd = this.#options.clock.now() - endedAt;
    return this.#options.end === 'listens on for a while' && sinceEnd < 60;
  }

  /** Whether responses to requests of others are still delivered after the end. */
  #isAnsweringOthers({ endedAt }: Target): boolean {
    const sinceEnd = this.#options.clock.now() - endedAt;
    return this.#options.end === 'answers others for a while' && sinceEnd < 100;
  }

  #at(address: string): Target {
    const target = this.#targets.find((other) => other.address === address);
    if (target === undefined) throw new Error(`no target at ${address}`);
    return target;
  }

  #nextId(): string {
    this.#lastId += 1;
    return `t${this.#lastId}`;
  }
}

/** The response of a target to one attempt. */
class Response {
  readonly #handler: Dispatcher.DispatchHandler;
  isAborted = false;
  readonly #controller = {
    abort: () => {
      this.isAborted = true;
    },
    pause: () => undefined,
    resume: () => undefined,
    rawHeaders: [],
  } as unknown as Dispatcher.DispatchController;
  #isSettled = false;

  constructor(handler: Dispatcher.DispatchHandler) {
    this.#handler = handler;
  }

  start(): void {
    this.#handler.onRequestStart?.(this.#controller, {});
  }

  begin(status: number): void {
    this.#handler.onResponseStart?.(this.#controller, status, { 'transfer-encoding': 'chunked' });
    this.#handler.onResponseData?.(this.#controller, Buffer.from('id: 1\ndata: a\n\n'));
  }

  respond(status: number): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.begin(status);
    this.#handler.onResponseEnd?.(this.#controller, {});
  }

  fail(reason: string): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#handler.onResponseError?.(this.#controller, new Error(reason));
  }
}

import type { Dispatcher } from 'undici';
import type { EventClock } from '../../turns/tests/event-clock';
import type { ListedTarget, TargetConnection, TargetState } from '../../targets';
import type { ProbeResult, ProbedTarget } from '../target-prober';

const LATENCY_MILLISECONDS = 1;

/** Time after which the list no longer has a target that ended. */
const LIST_LAG_MILLISECONDS = 1000;

/** What a target does with a request. */
export type Behaviour = 'answers' | 'resets its connection' | 'ends';

export const REQUEST_HEADER = 'request';
export const BEHAVIOUR_HEADER = 'behaviour';

/** Under which id a target that ended returns. */
export type Return = 'same id' | 'new id';

/** Time from the start of a request until its target answers, resets its connection or ends. */
const RUN_MILLISECONDS = 8;

interface Target {
  readonly address: string;
  id: string;
  bornAt: number;
  isUp: boolean;
  endedAt: number;
  /** Called when the connection of a request in flight is lost. */
  readonly inFlight: Set<(reason: string) => void>;
}

export interface SimulatedTargetsOptions {
  readonly count: number;
  readonly returnsAs: Return;
  readonly downMilliseconds: number;
  /** Time for which a target that ended still accepts connections. */
  readonly listensForMilliseconds?: number | undefined;
  readonly clock: EventClock;
  /** Called with the request that a target began to run when it ended. */
  readonly onEnd: (request: string, targetId: string) => void;
}

/** Targets that end, alone or together, and return at their addresses. */
export class SimulatedTargets {
  readonly #options: SimulatedTargetsOptions;
  readonly #targets: readonly Target[];
  #lastId = 0;

  constructor(options: SimulatedTargetsOptions) {
    this.#options = options;
    this.#targets = Array.from({ length: options.count }, (_, index) => ({
      address: `10.0.0.${index}:80`,
      id: this.#nextId(),
      bornAt: 0,
      isUp: true,
      endedAt: -Infinity,
      inFlight: new Set<(reason: string) => void>(),
    }));
  }

  get #listensFor(): number {
    return this.#options.listensForMilliseconds ?? 0;
  }

  list(): readonly ListedTarget[] {
    const now = this.#options.clock.now();
    return this.#targets
      .filter(({ isUp, endedAt }) => isUp || now - endedAt < LIST_LAG_MILLISECONDS)
      .map(({ address, id, bornAt }) => ({
        ...{ address, id, bornAt, service: 's', availabilityZone: 'a', slots: 8, draining: false },
      }));
  }

  probe({ address, id }: ProbedTarget): Promise<ProbeResult> {
    return new Promise((resolve) => {
      this.#options.clock.after(LATENCY_MILLISECONDS, () => {
        const target = this.#at(address);
        const isListening = this.#options.clock.now() - target.endedAt < this.#listensFor;
        if (!target.isUp) resolve(isListening ? 'accepted' : 'refused');
        else resolve(target.id === id ? 'accepted' : 'reused');
      });
    });
  }

  /** Ends `count` targets at the same moment. */
  end(first: number, count: number): void {
    for (let offset = 0; offset < count; offset += 1) {
      const target = this.#targets[(first + offset) % this.#targets.length];
      if (target !== undefined) this.#end(target);
    }
  }

  connect({ target: { address, id } }: TargetState): TargetConnection {
    const { clock } = this.#options;
    return {
      dispatch: ({ headers }, handler) => {
        clock.after(LATENCY_MILLISECONDS, () => {
          this.#run(this.#at(address), id, headers as readonly string[], handler);
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

  #run(
    target: Target,
    expectedId: string,
    headers: readonly string[],
    handler: Dispatcher.DispatchHandler,
  ): void {
    const { clock, onEnd } = this.#options;
    const request = valueOf(headers, REQUEST_HEADER);
    const behaviour = valueOf(headers, BEHAVIOUR_HEADER);
    const controller = {
      abort: () => undefined,
      rawHeaders: [],
    } as unknown as Dispatcher.DispatchController;
    if (!target.isUp) {
      handler.onResponseError?.(controller, new Error('connection refused'));
      return;
    }
    handler.onRequestStart?.(controller, {});
    if (target.id !== expectedId) {
      handler.onResponseStart?.(controller, 421, { 'content-length': '0' });
      handler.onResponseEnd?.(controller, {});
      return;
    }
    const lose = (reason: string) => {
      target.inFlight.delete(lose);
      if (!target.isUp) onEnd(request, expectedId);
      clock.after(LATENCY_MILLISECONDS, () => {
        handler.onResponseError?.(controller, new Error(reason));
      });
    };
    target.inFlight.add(lose);
    clock.after(RUN_MILLISECONDS, () => {
      if (!target.inFlight.has(lose)) return;
      if (behaviour === 'ends') this.#end(target);
      else if (behaviour === 'resets its connection') lose('connection reset');
      else {
        target.inFlight.delete(lose);
        handler.onResponseStart?.(controller, 200, { 'content-length': '2' });
        handler.onResponseData?.(controller, Buffer.from('ok'));
        handler.onResponseEnd?.(controller, {});
      }
    });
  }

  #end(target: Target): void {
    const { clock, returnsAs, downMilliseconds } = this.#options;
    if (!target.isUp) return;
    target.isUp = false;
    target.endedAt = clock.now();
    for (const lose of [...target.inFlight]) lose('connection closed');
    clock.after(downMilliseconds, () => {
      target.isUp = true;
      target.bornAt = clock.now();
      if (returnsAs === 'new id') target.id = this.#nextId();
    });
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

export function valueOf(headers: readonly string[], name: string): string {
  return headers[headers.indexOf(name) + 1] ?? '';
}

import { type Clock, delay } from './clock';
import { waitForIdle } from './drain-wait';

/** Time for writing the answers to the requests that are ended, before the drain is over. */
const ANSWER_MILLISECONDS = 200;

/** The requests that a process has to finish before it stops. */
export interface DrainableRequests {
  /** Refuses further requests from now on, also those on open connections. */
  refuseNew(): void;
  /** Gives every request that still runs a final answer, which says whether it may have run. */
  endRunning(): void;
  /** Resolves once no request runs and all answers have been written. */
  whenIdle(): Promise<void>;
}

export interface PlannedStopOptions {
  readonly clock: Clock;
  /** Time for the whole drain. */
  readonly drainMilliseconds: number;
  /**
   * Time during which new requests are still taken, since callers learn only late that the process
   * leaves; at most half of the drain.
   */
  readonly acceptMilliseconds: number;
}

/**
 * Ends the work of a process that stops on purpose: takes new requests for a while, lets them finish,
 * and answers those that do not finish in time.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  /** Monotonic time; undefined before the stop. */
  #endsAt: number | undefined;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  get hasBegun(): boolean {
    return this.#endsAt !== undefined;
  }

  /** Whether work that takes `milliseconds` from now on ends before it would be ended. */
  canComplete(milliseconds: number): boolean {
    if (this.#endsAt === undefined) return true;
    return milliseconds <= this.#endsAt - this.#options.clock.monotonic();
  }

  /** Resolves once no request is in flight, or at the end of the drain. */
  async drain(requests: DrainableRequests): Promise<void> {
    const { clock, drainMilliseconds } = this.#options;
    const acceptMilliseconds = Math.min(this.#options.acceptMilliseconds, drainMilliseconds / 2);
    const answerMilliseconds = Math.min(ANSWER_MILLISECONDS, drainMilliseconds / 4);
    const endsAt = clock.monotonic() + drainMilliseconds - answerMilliseconds;
    this.#endsAt = endsAt;
    await delay(clock, acceptMilliseconds);
    requests.refuseNew();
    const idle = requests.whenIdle();
    // Less than planned if the process was paused while it accepted requests.
    const milliseconds = Math.max(0, endsAt - clock.monotonic());
    await waitForIdle({ clock, milliseconds, whenIdle: () => idle });
    requests.endRunning();
    await waitForIdle({ clock, milliseconds: answerMilliseconds, whenIdle: () => idle });
  }
}

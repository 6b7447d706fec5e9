import type { LatestValue, StoreView } from '../cluster';
import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { TurnContract } from './contract';
import { queryMembers } from './member-queries';

const PROBE_INTERVAL_MILLISECONDS = 400;

/** Interval while no quorum is reachable, as after a start. */
const UNREACHABLE_PROBE_INTERVAL_MILLISECONDS = 100;

const PROBE_TIMEOUT_MILLISECONDS = 350;

/** Consecutive failed probes after which the quorum is unreachable. */
const FAILURE_THRESHOLD = 2;

/** No program has this name, so a probe reads an empty list. */
const PROBE_PROGRAM = '';

export interface QuorumMonitorOptions {
  readonly view: LatestValue<StoreView>;
  readonly peers: RpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Tracks whether a quorum of the stores is reachable, by probes and by the traffic of turns. */
export class QuorumMonitor implements Component {
  readonly #options: QuorumMonitorOptions;
  readonly #task: PeriodicTask;
  #succeededAt = -Infinity;
  #probedAt = -Infinity;
  #failures = FAILURE_THRESHOLD;

  constructor(options: QuorumMonitorOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, UNREACHABLE_PROBE_INTERVAL_MILLISECONDS, () =>
      this.#probeIfDue(),
    );
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  get reachesQuorum(): boolean {
    return this.#failures < FAILURE_THRESHOLD;
  }

  /** Called after a quorum has answered. */
  recordSuccess(): void {
    this.#succeededAt = this.#options.clock.monotonic();
    if (!this.reachesQuorum) this.#options.logger.info({ event: 'stores-reached' });
    this.#failures = 0;
  }

  /** Skips the probe if a quorum has answered within the interval. */
  async #probeIfDue(): Promise<void> {
    const { view, clock } = this.#options;
    const now = clock.monotonic();
    const lastAt = Math.max(this.#succeededAt, this.#probedAt);
    if (this.reachesQuorum && now - lastAt < PROBE_INTERVAL_MILLISECONDS) return;
    this.#probedAt = now;
    const currentView = view.value;
    const isReached = currentView !== undefined && (await this.#probe(currentView));
    if (isReached) {
      this.recordSuccess();
      return;
    }
    this.#failures += 1;
    if (this.#failures !== FAILURE_THRESHOLD) return;
    this.#options.logger.warn({ event: 'stores-out-of-reach', epoch: currentView?.epoch });
  }

  async #probe(view: StoreView): Promise<boolean> {
    const { peers, clock } = this.#options;
    const round = await queryMembers({
      view,
      clock,
      isDecided: (answers) => answers.length >= view.quorum,
      describeFailure: messageOf,
      query: ({ address }) =>
        peers.call(
          address,
          'turns.reservations',
          { epoch: view.epoch, program: PROBE_PROGRAM },
          PROBE_TIMEOUT_MILLISECONDS,
        ),
    });
    return round.answers.length >= view.quorum;
  }
}

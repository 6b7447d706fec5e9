import { type Clock, type Component, type Logger, type Metrics, PeriodicTask } from '../core';

const CHECK_INTERVAL_MILLISECONDS = 500;

/** Delay of a check that is reported as a pause; longer than delays due to load. */
const PAUSE_THRESHOLD_MILLISECONDS = 1000;

export interface PauseMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Logs pauses of this process, such as a suspended host or CPU starvation. Other processes cannot
 * distinguish them from a network partition.
 */
export class PauseMonitor implements Component {
  readonly #options: PauseMonitorOptions;
  readonly #task: PeriodicTask;
  #checkedAt = 0;

  constructor(options: PauseMonitorOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, CHECK_INTERVAL_MILLISECONDS, () => {
      this.#check();
    });
  }

  start(): void {
    this.#checkedAt = this.#options.clock.monotonic();
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  #check(): void {
    const { clock, logger, metrics } = this.#options;
    const now = clock.monotonic();
    const milliseconds = now - this.#checkedAt - CHECK_INTERVAL_MILLISECONDS;
    this.#checkedAt = now;
    if (milliseconds < PAUSE_THRESHOLD_MILLISECONDS) return;
    metrics.count('process_pauses_total');
    logger.warn({ event: 'process-paused', milliseconds: Math.round(milliseconds) });
  }
}

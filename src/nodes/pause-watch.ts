import { type Clock, type Component, type Logger, type Metrics, PeriodicTask } from '../core';

/** Pause between looks; milliseconds. */
const LOOK_MILLISECONDS = 500;

/** Time by which a look must be late to be logged; a loaded process is late by less. */
const PAUSE_MILLISECONDS = 1000;

export interface PauseWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Logs when this process did not run for a while, since its host was frozen or its processor
 * withheld: from outside that looks like a cut connection.
 */
export class PauseWatch implements Component {
  readonly #options: PauseWatchOptions;
  readonly #task: PeriodicTask;
  #lookedAt = 0;

  constructor(options: PauseWatchOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, LOOK_MILLISECONDS, () => {
      this.#look();
    });
  }

  start(): void {
    this.#lookedAt = this.#options.clock.monotonic();
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  #look(): void {
    const { clock, logger, metrics } = this.#options;
    const now = clock.monotonic();
    const milliseconds = now - this.#lookedAt - LOOK_MILLISECONDS;
    this.#lookedAt = now;
    if (milliseconds < PAUSE_MILLISECONDS) return;
    metrics.count('process_pauses_total');
    logger.warn({ event: 'process-paused', milliseconds: Math.round(milliseconds) });
  }
}

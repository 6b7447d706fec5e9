import type { Clock } from './clock';
import { messageOf } from './errors';
import type { Component } from './life-cycle';
import type { Logger } from './log';
import type { Metrics } from './metrics';

/** Errors that are tolerated within the window. */
const TOLERATED_ERRORS = 20;

const WINDOW_MILLISECONDS = 10_000;

export interface UncaughtErrorsOptions {
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly logger: Logger;
  readonly metrics?: Metrics;
  /** Called with the latest error when there are more than are tolerated. */
  readonly onExcess: (error: unknown) => void;
}

/** Reports an error of a callback as one that nothing handles, so that its caller goes on. */
export function raiseUncaught(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}

/**
 * Receives exceptions and rejections that nothing else handles, of which Node.js ends the process at
 * the first one. Such an error ends one callback, whose work the other components repeat or time out;
 * the process goes on unless they recur. Components that hold promises (a store's journal, a member of a
 * replicated log) don't leave their errors to it: they stop, and read their state from the disk again.
 */
export class UncaughtErrors implements Component {
  readonly #options: UncaughtErrorsOptions;
  #times: readonly number[] = [];

  constructor(options: UncaughtErrorsOptions) {
    this.#options = options;
  }

  start(): void {
    process.on('uncaughtException', this.#receiveException);
    process.on('unhandledRejection', this.#receiveRejection);
  }

  stop(): void {
    process.off('uncaughtException', this.#receiveException);
    process.off('unhandledRejection', this.#receiveRejection);
  }

  readonly #receiveException = (error: unknown): void => {
    this.#receive('exception', error);
  };

  readonly #receiveRejection = (error: unknown): void => {
    this.#receive('rejection', error);
  };

  #receive(origin: string, error: unknown): void {
    const { clock, logger, metrics, onExcess } = this.#options;
    const now = clock.monotonic();
    this.#times = [...this.#times.filter((time) => time > now - WINDOW_MILLISECONDS), now];
    const stack = error instanceof Error ? error.stack : undefined;
    logger.error({ event: 'uncaught-error', origin, error: messageOf(error), stack });
    metrics?.count('uncaught_errors_total');
    if (this.#times.length > TOLERATED_ERRORS) onExcess(error);
  }
}

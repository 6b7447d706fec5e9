import { type Clock, type Component, type LifeCycle, type Logger, delay, messageOf } from '../core';
import { StorageError } from '../storage';

const FIRST_RETRY_MILLISECONDS = 1000;

/** Each try reads all files. */
const LONGEST_RETRY_MILLISECONDS = 4000;

export interface RestartingHostOptions {
  /** Creates all parts of the host; `onRefusedWrite` is called when its disk has refused a write. */
  readonly create: (onRefusedWrite: () => void) => LifeCycle;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when the host can't start again. */
  readonly onFailure?: () => void;
}

/**
 * A control host that outlives refusals of its disk. After a refused write the content of the files is
 * unknown: the host stops, which gives up its votes, and starts again with what is on the disk once that
 * takes bytes.
 */
export class RestartingHost implements Component {
  readonly #options: RestartingHostOptions;
  /** Undefined while the disk can't be used. */
  #running: LifeCycle | undefined;
  #hasStopped = false;

  constructor(options: RestartingHostOptions) {
    this.#options = options;
  }

  /** Resolves although the disk refuses bytes; rejects if its content is damaged. */
  async start(): Promise<void> {
    if (!(await this.#tryStart())) void this.#recover();
  }

  async stop(): Promise<void> {
    this.#hasStopped = true;
    const running = this.#running;
    this.#running = undefined;
    await running?.stop();
  }

  /** Resolves with whether the host runs. */
  async #tryStart(): Promise<boolean> {
    const { create, logger } = this.#options;
    const refusal = { isReported: false };
    const lifeCycle = create(() => {
      refusal.isReported = true;
      this.#onRefusedWrite(lifeCycle);
    });
    try {
      await lifeCycle.start();
    } catch (error) {
      if (!isRefusal(error)) throw error;
      logger.warn({ event: 'storage-unavailable', error: messageOf(error) });
      return false;
    }
    if (refusal.isReported || this.#isStopped()) {
      await this.#stopFailed(lifeCycle);
      return this.#isStopped();
    }
    this.#running = lifeCycle;
    return true;
  }

  #onRefusedWrite(failed: LifeCycle): void {
    if (this.#running !== failed) return;
    this.#running = undefined;
    void this.#stopFailed(failed).then(() => this.#recover());
  }

  async #recover(): Promise<void> {
    const { logger, onFailure } = this.#options;
    try {
      await this.#repeatStart();
    } catch (error) {
      logger.fatal({ event: 'start-failed', error: messageOf(error) });
      onFailure?.();
    }
  }

  async #repeatStart(): Promise<void> {
    const { clock, logger } = this.#options;
    let retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    do {
      await delay(clock, retryMilliseconds);
      retryMilliseconds = Math.min(retryMilliseconds * 2, LONGEST_RETRY_MILLISECONDS);
      if (this.#isStopped()) return;
    } while (!(await this.#tryStart()));
    if (!this.#isStopped()) logger.info({ event: 'storage-recovered' });
  }

  #isStopped(): boolean {
    return this.#hasStopped;
  }

  /** Stops a host whose files may not be closed without an error. */
  async #stopFailed(lifeCycle: LifeCycle): Promise<void> {
    try {
      await lifeCycle.stop();
    } catch (error) {
      this.#options.logger.warn({ event: 'storage-not-closed', error: messageOf(error) });
    }
  }
}

function isRefusal(error: unknown): boolean {
  // A life cycle whose start fails may then fail to close several stores.
  if (error instanceof AggregateError) return error.errors.every(isRefusal);
  if (!(error instanceof StorageError)) return false;
  return error.issues.every(({ code }) => code !== 'damaged');
}

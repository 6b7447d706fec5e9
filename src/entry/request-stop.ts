import { setMaxListeners } from 'node:events';
import type { PlannedStop } from '../core';

/** The process stops before a request has ended. */
export class StoppingError extends Error {
  constructor() {
    super('the entry is stopping');
    this.name = 'StoppingError';
  }
}

/** What a planned stop means for the requests in flight. */
export class RequestStop {
  readonly #plannedStop: Pick<PlannedStop, 'hasBegun' | 'canComplete'>;
  readonly #controller = new AbortController();

  constructor(plannedStop: Pick<PlannedStop, 'hasBegun' | 'canComplete'>) {
    this.#plannedStop = plannedStop;
    // Each request in flight listens.
    setMaxListeners(0, this.#controller.signal);
  }

  get hasBegun(): boolean {
    return this.#plannedStop.hasBegun;
  }

  /** Whether work that takes `milliseconds` from now on ends before {@link endRequests}. */
  canComplete(milliseconds: number): boolean {
    return this.#plannedStop.canComplete(milliseconds);
  }

  /** Aborted with a {@link StoppingError} when the requests that still run are ended. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  endRequests(): void {
    this.#controller.abort(new StoppingError());
  }

  /** Settles like `operation`, but rejects with a {@link StoppingError} if requests are ended first. */
  async settleBeforeEnd<T>(operation: Promise<T>): Promise<T> {
    const { signal } = this;
    let onAbort: () => void = () => undefined;
    const ended = new Promise<never>((_resolve, reject) => {
      onAbort = () => {
        reject(signal.reason as StoppingError);
      };
    });
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
    try {
      return await Promise.race([operation, ended]);
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }
}

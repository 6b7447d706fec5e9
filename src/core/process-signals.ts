export type StopSignal = 'SIGTERM' | 'SIGINT';

const STOP_SIGNALS: readonly StopSignal[] = ['SIGTERM', 'SIGINT'];

/**
 * Receives the signals of a process from its construction on; Node.js ends a process at once on a
 * signal without a handler. A signal that arrives before its listener is set is passed on to it then.
 */
export class ProcessSignals {
  #stopSignal: StopSignal | undefined;
  #isReloadPending = false;
  #onStop: (signal: StopSignal) => void = () => undefined;
  #onReload: (() => void) | undefined;

  constructor() {
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        this.#receiveStop(signal);
      });
    }
    process.on('SIGHUP', () => {
      if (this.#onReload === undefined) this.#isReloadPending = true;
      else this.#onReload();
    });
  }

  /** The first SIGTERM or SIGINT, if one was received. */
  get stopSignal(): StopSignal | undefined {
    return this.#stopSignal;
  }

  /** Replaces the listener for the first SIGTERM or SIGINT. */
  onStop(listener: (signal: StopSignal) => void): void {
    this.#onStop = listener;
    if (this.#stopSignal !== undefined) listener(this.#stopSignal);
  }

  /** Replaces the listener for SIGHUP. */
  onReload(listener: () => void): void {
    this.#onReload = listener;
    if (!this.#isReloadPending) return;
    this.#isReloadPending = false;
    listener();
  }

  #receiveStop(signal: StopSignal): void {
    if (this.#stopSignal !== undefined) return;
    this.#stopSignal = signal;
    this.#onStop(signal);
  }
}

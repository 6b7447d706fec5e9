/**
 * Calls back on the first SIGTERM or SIGINT, but not before it is enabled. Its handlers stay in
 * place, since Node ends the process at once on a signal without one.
 */
export class StopSignals {
  readonly #onStop: (signal: string) => void;
  #first: string | undefined;
  #isEnabled = false;

  constructor(onStop: (signal: string) => void) {
    this.#onStop = onStop;
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.on(signal, () => {
        this.#receive(signal);
      });
    }
  }

  enable(): void {
    this.#isEnabled = true;
    if (this.#first !== undefined) this.#onStop(this.#first);
  }

  #receive(signal: string): void {
    if (this.#first !== undefined) return;
    this.#first = signal;
    if (this.#isEnabled) this.#onStop(signal);
  }
}

/** The attempts of one request that have not ended, so that they can be cancelled together. */
export class OpenAttempts {
  readonly #cancels = new Set<() => void>();
  #hasBegun = false;

  /** Whether an attempt has been made. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  get count(): number {
    return this.#cancels.size;
  }

  /** Adds an attempt, which `cancel` ends; returns a function that removes it. */
  begin(cancel: () => void): () => void {
    this.#hasBegun = true;
    this.#cancels.add(cancel);
    return () => {
      this.#cancels.delete(cancel);
    };
  }

  cancelAll(): void {
    for (const cancel of [...this.#cancels]) cancel();
    this.#cancels.clear();
  }
}

/** Counts work under way, and tells when the last of it is done. */
export class InFlight {
  readonly #waiting: (() => void)[] = [];
  #count = 0;

  get count(): number {
    return this.#count;
  }

  /** Counts a piece of work until it ends, however it ends. */
  track(work: Promise<void>): void {
    this.#count += 1;
    const end = () => {
      this.#count -= 1;
      if (this.#count === 0) for (const wake of this.#waiting.splice(0)) wake();
    };
    work.then(end, end);
  }

  /** Resolves once nothing is under way. */
  idle(): Promise<void> {
    if (this.#count === 0) return Promise.resolve();
    return new Promise((resolve) => this.#waiting.push(resolve));
  }
}

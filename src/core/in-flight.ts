/** Counts operations in flight, to wait for them before a shutdown. */
export class InFlightTracker {
  readonly #waiters: (() => void)[] = [];
  #count = 0;

  get count(): number {
    return this.#count;
  }

  /** Counts an operation until its promise settles. */
  track(operation: Promise<void>): void {
    this.#count += 1;
    const onSettled = () => {
      this.#count -= 1;
      if (this.#count === 0) for (const resolve of this.#waiters.splice(0)) resolve();
    };
    operation.then(onSettled, onSettled);
  }

  /** Resolves once no operation is in flight. */
  whenIdle(): Promise<void> {
    if (this.#count === 0) return Promise.resolve();
    return new Promise((resolve) => this.#waiters.push(resolve));
  }
}

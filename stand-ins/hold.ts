/** Lets a stand-in stand still at some point, so that a test can act in the middle of a call. */
export class Hold {
  readonly reached: Promise<void>;
  readonly #released: Promise<void>;
  readonly #after: number;
  #reach: () => void = () => undefined;
  #release: () => void = () => undefined;
  #count = 0;

  /** @param after tokens or calls after which to stand still; 0 for never */
  constructor(after: number) {
    this.#after = after;
    this.reached = new Promise((resolve) => {
      this.#reach = resolve;
    });
    this.#released = new Promise((resolve) => {
      this.#release = resolve;
    });
  }

  /** Counts; resolves at once, or at the release if it is time to stand still. */
  async pass(count: number): Promise<void> {
    this.#count += count;
    if (this.#after === 0 || this.#count < this.#after) return;
    this.#reach();
    await this.#released;
  }

  release(): void {
    this.#release();
  }
}

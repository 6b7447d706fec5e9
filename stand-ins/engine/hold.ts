/** Lets an engine stand still after some tokens, so that a test can act in the middle of a stream. */
export class Hold {
  readonly reached: Promise<void>;
  readonly #released: Promise<void>;
  readonly #after: number;
  #reach: () => void = () => undefined;
  #release: () => void = () => undefined;
  #tokens = 0;

  /** @param after tokens after which to stand still; 0 for never */
  constructor(after: number) {
    this.#after = after;
    this.reached = new Promise((resolve) => {
      this.#reach = resolve;
    });
    this.#released = new Promise((resolve) => {
      this.#release = resolve;
    });
  }

  /** Counts tokens; resolves at once, or at the release if the engine is to stand still. */
  async pass(tokens: number): Promise<void> {
    this.#tokens += tokens;
    if (this.#after === 0 || this.#tokens < this.#after) return;
    this.#reach();
    await this.#released;
  }

  release(): void {
    this.#release();
  }
}

/** Pauses a stand-in at a given point, so that a test can act in the middle of a call. */
export class PausePoint {
  readonly reached: Promise<void>;
  readonly #released: Promise<void>;
  readonly #pauseAfter: number;
  #resolveReached: () => void = () => undefined;
  #resolveReleased: () => void = () => undefined;
  #count = 0;

  /** @param pauseAfter tokens or calls until the pause; 0 for none */
  constructor(pauseAfter: number) {
    this.#pauseAfter = pauseAfter;
    this.reached = new Promise((resolve) => {
      this.#resolveReached = resolve;
    });
    this.#released = new Promise((resolve) => {
      this.#resolveReleased = resolve;
    });
  }

  /** Adds to the count; resolves at once, or at the release once the count has been reached. */
  async advance(count: number): Promise<void> {
    this.#count += count;
    if (this.#pauseAfter === 0 || this.#count < this.#pauseAfter) return;
    this.#resolveReached();
    await this.#released;
  }

  release(): void {
    this.#resolveReleased();
  }
}

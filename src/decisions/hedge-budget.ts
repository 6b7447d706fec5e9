/** Hedged requests that can accumulate, so that a few late calls at once are all hedged. */
const SAVED_HEDGES_LIMIT = 10;

/**
 * Token bucket that limits hedged requests to a share of the calls, so that they don't amplify
 * overload.
 */
export class HedgeBudget {
  readonly #hedgesPerCall: number;
  #availableHedges = SAVED_HEDGES_LIMIT;

  constructor(hedgesPerCall: number) {
    this.#hedgesPerCall = hedgesPerCall;
  }

  recordCall(): void {
    this.#availableHedges = Math.min(
      this.#availableHedges + this.#hedgesPerCall,
      SAVED_HEDGES_LIMIT,
    );
  }

  /** Consumes one hedged request; returns false if none is available. */
  take(): boolean {
    if (this.#availableHedges < 1) return false;
    this.#availableHedges -= 1;
    return true;
  }
}

/** Capacity of the bucket, so that a few calls that are late at once are all hedged. */
const MAXIMUM_AVAILABLE_HEDGES = 10;

/**
 * Token bucket that limits hedged requests to a share of the calls, so that they don't amplify
 * overload.
 */
export class HedgeBudget {
  readonly #hedgesPerCall: number;
  #availableHedges = MAXIMUM_AVAILABLE_HEDGES;

  constructor(hedgesPerCall: number) {
    this.#hedgesPerCall = hedgesPerCall;
  }

  recordCall(): void {
    this.#availableHedges = Math.min(
      this.#availableHedges + this.#hedgesPerCall,
      MAXIMUM_AVAILABLE_HEDGES,
    );
  }

  /** Consumes one hedged request; returns false if none is available. */
  tryConsume(): boolean {
    if (this.#availableHedges < 1) return false;
    this.#availableHedges -= 1;
    return true;
  }
}

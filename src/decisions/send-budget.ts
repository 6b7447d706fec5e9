/** Second sends that may be saved up; a few calls late at once are no sign of overload. */
const SAVED_SENDS = 10;

/** Bounds second sends to a share of the calls, so that they never add much to an overload. */
export class SendBudget {
  readonly #share: number;
  #sends = SAVED_SENDS;

  /** `share`: second sends for each call. */
  constructor(share: number) {
    this.#share = share;
  }

  noteCall(): void {
    this.#sends = Math.min(this.#sends + this.#share, SAVED_SENDS);
  }

  /** Takes one second send; returns whether there was one left. */
  take(): boolean {
    if (this.#sends < 1) return false;
    this.#sends -= 1;
    return true;
  }
}

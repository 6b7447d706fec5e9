/**
 * What a request takes from limits that it shares with other requests: quota of its team, tokens of
 * its program's budget. It is given back at most once, and only if no target has run the request.
 */
export class RequestHolds {
  readonly #giveBackActions: (() => void)[] = [];
  #isAttempted = false;
  #isReleased = false;

  /** Adds a hold; `giveBack` is called if no target runs the request. */
  add(giveBack: () => void): void {
    this.#giveBackActions.push(giveBack);
  }

  /** Records that an attempt starts. The holds are then kept unless `release` is called. */
  markAttempted(): void {
    this.#isAttempted = true;
  }

  /** Gives the holds back. Only for a request that no target has run and none will run. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    for (const giveBack of this.#giveBackActions) giveBack();
  }

  /** Gives the holds back unless an attempt has started. Called when the request ends in any way. */
  close(): void {
    if (!this.#isAttempted) this.release();
  }
}

import type { CallAnswer } from '../state';

/** State of one attempt of a non-repeatable call. */
export type AttemptState =
  | { readonly state: 'running' }
  | { readonly state: 'answered'; readonly answer: CallAnswer }
  /** Sent to the target, but the response was lost, too large or evicted. */
  | { readonly state: 'unknown' }
  /** Not sent to the target, and never will be. */
  | { readonly state: 'revoked' };

/** `used`: the attempt was admitted before; `revoked`: it must never be sent. */
export type Admission = 'admitted' | 'revoked' | 'used';

/** Above this count, the oldest attempts that are not running are evicted. */
const MAX_ATTEMPTS = 4096;

/** Limit on the total length of the retained base64 response bodies. */
const MAX_RETAINED_BYTES = 4 * 1024 * 1024;

/**
 * Attempts of non-repeatable calls. Admission and revocation are mutually exclusive: a revoked
 * attempt is never admitted, and revoking an admitted one returns its state.
 */
export class AttemptTable {
  readonly #attempts = new Map<string, AttemptState>();
  #retainedBytes = 0;

  admit(attempt: string): Admission {
    const existing = this.#attempts.get(attempt);
    if (existing !== undefined) return existing.state === 'revoked' ? 'revoked' : 'used';
    this.#attempts.set(attempt, { state: 'running' });
    return 'admitted';
  }

  /** Marks an admitted attempt as revoked, as the target did not receive the call. */
  markNotRun(attempt: string): void {
    this.#attempts.set(attempt, { state: 'revoked' });
  }

  /** Records the response of an admitted attempt; `undefined` if it was lost or is too large. */
  complete(attempt: string, answer: CallAnswer | undefined): void {
    const state: AttemptState =
      answer === undefined ? { state: 'unknown' } : { state: 'answered', answer };
    this.#attempts.set(attempt, state);
    this.#retainedBytes += answer?.body.length ?? 0;
    this.#evict();
  }

  /** Revokes an attempt unless it was admitted; returns its state. */
  revoke(attempt: string): AttemptState {
    const existing = this.#attempts.get(attempt);
    if (existing !== undefined) return existing;
    const revoked: AttemptState = { state: 'revoked' };
    this.#attempts.set(attempt, revoked);
    this.#evict();
    return revoked;
  }

  /**
   * Evicts the oldest responses above the size limit and the oldest attempts above the count limit.
   * An evicted attempt could be admitted again, so the count limit must exceed the number of
   * requests that can be delayed in transit.
   */
  #evict(): void {
    for (const [attempt, state] of this.#attempts) {
      const overCountLimit = this.#attempts.size > MAX_ATTEMPTS;
      if (!overCountLimit && this.#retainedBytes <= MAX_RETAINED_BYTES) return;
      if (state.state === 'running') continue;
      if (state.state === 'answered') this.#retainedBytes -= state.answer.body.length;
      if (overCountLimit) this.#attempts.delete(attempt);
      else this.#attempts.set(attempt, { state: 'unknown' });
    }
  }
}

import type { CallAnswer } from '../state';

/** What a sidecar knows of one attempt of a call that may not be repeated. */
export type AttemptState =
  | { readonly state: 'running' }
  | { readonly state: 'answered'; readonly answer: CallAnswer }
  /** It was sent, and its answer is lost or too large to keep. */
  | { readonly state: 'unknown' }
  /** It was never sent and never will be. */
  | { readonly state: 'revoked' };

/** Whether an attempt may be sent; a used one was sent before, a revoked one never will be. */
export type Admission = 'admitted' | 'revoked' | 'used';

/** Attempts whose states are kept; the oldest settled one is forgotten beyond that. */
const ATTEMPT_LIMIT = 4096;

/** Bytes of answers that are kept. */
const ANSWER_LIMIT_BYTES = 4 * 1024 * 1024;

/**
 * The attempts of calls that may not be repeated. Admitting and revoking exclude each other: once
 * an attempt was revoked it can't be sent, and an attempt that was admitted is told as such.
 */
export class AttemptTable {
  readonly #attempts = new Map<string, AttemptState>();
  #answerBytes = 0;

  /** Admits an attempt that was neither admitted nor revoked before. */
  admit(attempt: string): Admission {
    const known = this.#attempts.get(attempt);
    if (known !== undefined) return known.state === 'revoked' ? 'revoked' : 'used';
    this.#attempts.set(attempt, { state: 'running' });
    return 'admitted';
  }

  /** Takes back an admission: the target provably did not get the call. */
  withdraw(attempt: string): void {
    this.#attempts.set(attempt, { state: 'revoked' });
  }

  /** Keeps the answer of an admitted attempt; nothing when it is not known. */
  settle(attempt: string, answer: CallAnswer | undefined): void {
    const state: AttemptState =
      answer === undefined ? { state: 'unknown' } : { state: 'answered', answer };
    this.#attempts.set(attempt, state);
    this.#answerBytes += answer?.body.length ?? 0;
    this.#forget();
  }

  /** Revokes an attempt unless it was admitted, and tells where it stands. */
  revoke(attempt: string): AttemptState {
    const known = this.#attempts.get(attempt);
    if (known !== undefined) return known;
    const revoked: AttemptState = { state: 'revoked' };
    this.#attempts.set(attempt, revoked);
    this.#forget();
    return revoked;
  }

  /**
   * Forgets the oldest settled attempts. One that is forgotten could be admitted again, so the
   * limit exceeds by far what can be delayed on the way.
   */
  #forget(): void {
    for (const [attempt, state] of this.#attempts) {
      const tooMany = this.#attempts.size > ATTEMPT_LIMIT;
      if (!tooMany && this.#answerBytes <= ANSWER_LIMIT_BYTES) return;
      if (state.state === 'running') continue;
      if (state.state === 'answered') this.#answerBytes -= state.answer.body.length;
      if (tooMany) this.#attempts.delete(attempt);
      else this.#attempts.set(attempt, { state: 'unknown' });
    }
  }
}

import type { Identity } from '../teams';
import type { Refusal } from './refusal';

/**
 * Share of the removal deadline for which a confirmation by the leader is valid. The rest covers
 * the latency to a target, late timers and differences in clock rate.
 */
const CONFIRMATION_VALIDITY_SHARE = 0.85;

/** `Retry-After` of a refusal while the leader is unreachable; an election takes 0.6 s. */
const KEYS_UNCONFIRMED_RETRY_SECONDS = 0.6;

export interface KeyCheckInput {
  readonly identity: Identity;
  /**
   * Age of the leader's last confirmation that this process has the newest configuration, counted
   * from the request for it; monotonic milliseconds.
   */
  readonly confirmationAge: number;
  /**
   * Time within which a removed key must stop working on every host; undefined without a deadline.
   */
  readonly removalMilliseconds: number | undefined;
}

export type KeyDecision =
  | { readonly kind: 'serve' }
  /** The local configuration does not contain the key; the newest configuration decides. */
  | { readonly kind: 'ask' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Whether the last confirmation by the leader is recent enough to accept keys. Milliseconds. */
export function isConfirmationValid(
  confirmationAge: number,
  removalMilliseconds = Infinity,
): boolean {
  return confirmationAge <= removalMilliseconds * CONFIRMATION_VALIDITY_SHARE;
}

/**
 * Decides whether a request may be served with its key. A key is accepted only for a bounded time
 * after the leader confirmed the configuration, so that a gateway that was partitioned, suspended
 * or restarted stops accepting removed keys.
 */
export function checkKey({
  identity,
  confirmationAge,
  removalMilliseconds,
}: KeyCheckInput): KeyDecision {
  switch (identity.kind) {
    case 'anyone':
      return { kind: 'serve' };
    case 'no-key':
      return { kind: 'refuse', refusal: NO_KEY };
    case 'unknown-key':
      return { kind: 'ask' };
    case 'team':
      if (isConfirmationValid(confirmationAge, removalMilliseconds)) return { kind: 'serve' };
      return { kind: 'refuse', refusal: KEYS_UNCONFIRMED };
  }
}

export const NO_KEY: Refusal = {
  status: 401,
  code: 'no_key',
  message: 'the request carries no key, or more than one; send the key of a team',
};

export const UNKNOWN_KEY: Refusal = {
  status: 401,
  code: 'unknown_key',
  message: 'no team holds this key; the request was not run',
};

export const KEYS_UNCONFIRMED: Refusal = {
  status: 503,
  code: 'keys_unconfirmed',
  message: 'this gateway has not reached the leader lately, so a removed key might be used here',
  retryAfterSeconds: KEYS_UNCONFIRMED_RETRY_SECONDS,
};

import type { Identity } from '../teams';
import type { Refusal } from './refusal';

/**
 * Share of the time within which a removed key must be out of use for which a confirmation is gone by. The
 * rest covers the way to a target, timers that fire late and clocks that run at different speeds.
 */
const CONFIRMED_SHARE = 0.85;

/** Pause that a refusal asks for where the leader is not reached: an election takes 0.6 s. Seconds. */
const UNCONFIRMED_RETRY_SECONDS = 0.6;

/** What the use of a key rests on. Times in milliseconds. */
export interface KeySnapshot {
  readonly identity: Identity;
  /** Since the leader was asked whose word counts that this process knows the newest configuration. */
  readonly confirmationAge: number;
  /** Within which a removed key must be out of use everywhere; nothing where that is not asked for. */
  readonly removalMilliseconds: number | undefined;
}

/** What is known of a caller's right to be served. */
export type KeyVerdict =
  | { readonly kind: 'serve' }
  /** Nobody holds the key here, but that may have changed: the newest configuration decides. */
  | { readonly kind: 'ask' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Whether keys may be gone by so long after the leader's last word. Both in milliseconds. */
export function mayUseKeys(confirmationAge: number, removalMilliseconds = Infinity): boolean {
  return confirmationAge <= removalMilliseconds * CONFIRMED_SHARE;
}

/**
 * Whether a request may be served under its key. Answers gateways that are cut off, frozen or started
 * again while a key is removed: a key is used only for a bounded time after the leader has confirmed the
 * configuration that holds it, by this host's monotonic clock.
 */
export function judgeKey({
  identity,
  confirmationAge,
  removalMilliseconds,
}: KeySnapshot): KeyVerdict {
  switch (identity.kind) {
    case 'anyone':
      return { kind: 'serve' };
    case 'no-key':
      return { kind: 'refuse', refusal: NO_KEY };
    case 'unknown-key':
      return { kind: 'ask' };
    case 'team':
      if (mayUseKeys(confirmationAge, removalMilliseconds)) return { kind: 'serve' };
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
  retryAfterSeconds: UNCONFIRMED_RETRY_SECONDS,
};

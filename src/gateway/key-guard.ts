import type { Confirmation } from '../cluster';
import type { Metrics } from '../core';
import {
  KEYS_UNCONFIRMED,
  type KeyVerdict,
  type Refusal,
  UNKNOWN_KEY,
  judgeKey,
  mayUseKeys,
} from '../decisions';
import type { Route, RouteTable } from '../routes';
import { type Identity, identify } from '../teams';
import type { Exchange } from './exchange';

/**
 * Longest wait until the newest configuration is known, before a key that no team holds is refused: a
 * greeting of the leader is due within 300 ms. Milliseconds.
 */
const ASK_MILLISECONDS = 600;

/** Callers with unknown keys that wait at most; forged keys come in numbers. */
const ASKERS_LIMIT = 256;

export interface KeyGuardOptions {
  readonly routes: () => RouteTable | undefined;
  /** Version of the newest configuration that this process knows, readable or not. */
  readonly newestVersion: () => number;
  readonly confirmation: Confirmation;
  /** Within which a removed key must be out of use; nothing where that is not asked for. Milliseconds. */
  readonly removalMilliseconds: number | undefined;
  readonly metrics: Metrics;
}

/** Settles who asks, at the head of a request and again before each send. */
export class KeyGuard {
  readonly #options: KeyGuardOptions;

  constructor(options: KeyGuardOptions) {
    this.#options = options;
  }

  /** Whether keys can be gone by here at present, as far as anybody needs one. */
  get isConfirmed(): boolean {
    const { routes, removalMilliseconds, confirmation } = this.#options;
    if (routes()?.teams === undefined) return true;
    return this.#knowsNewest && mayUseKeys(confirmation.ageMilliseconds, removalMilliseconds);
  }

  /** Notes the caller's team on the exchange; returns why it is not served. */
  async admit(exchange: Exchange, route: Route): Promise<Refusal | undefined> {
    const identity = this.#identify(exchange, route.isPublic);
    const verdict = this.#judgeIdentity(identity);
    const waits = identity.kind === 'team' ? this.#awaitsWord : verdict.kind === 'ask';
    if (!waits) return this.#settle(exchange, identity, verdict);
    await this.#awaitLeader(exchange);
    const newer = this.#identify(exchange, route.isPublic);
    return this.#settle(exchange, newer, this.#judgeIdentity(newer));
  }

  /** Why a request that was admitted may not be sent any more, by what is known now. */
  recheck(exchange: Exchange): Refusal | undefined {
    const { team } = exchange;
    if (team === undefined) return undefined;
    const identity = this.#identify(exchange, false);
    if (identity.kind !== 'team' || identity.team.name !== team.name) return UNKNOWN_KEY;
    const verdict = this.#judgeIdentity(identity);
    return verdict.kind === 'refuse' ? verdict.refusal : undefined;
  }

  #settle(exchange: Exchange, identity: Identity, verdict: KeyVerdict): Refusal | undefined {
    const { routes, confirmation, removalMilliseconds } = this.#options;
    exchange.hidesKey = routes()?.teams !== undefined;
    exchange.team = identity.kind === 'team' ? identity.team : undefined;
    if (verdict.kind === 'serve') return undefined;
    const refusal = verdict.kind === 'refuse' ? verdict.refusal : this.#refuseUnknown(exchange);
    const age = confirmation.ageMilliseconds;
    exchange.decide({ step: 'key', verdict: refusal.code, age, removalMilliseconds });
    return refusal;
  }

  /** A key is unknown for certain only if the newest configuration was known after its caller came. */
  #refuseUnknown({ arrivedAt }: Exchange): Refusal {
    const { confirmation } = this.#options;
    return confirmation.isConfirmedSince(arrivedAt) ? UNKNOWN_KEY : KEYS_UNCONFIRMED;
  }

  #identify({ head }: Exchange, isPublic: boolean): Identity {
    return identify(this.#options.routes()?.teams, { key: head.key, isPublic });
  }

  #judgeIdentity(identity: Identity): KeyVerdict {
    const { confirmation, removalMilliseconds } = this.#options;
    const confirmationAge = this.#knowsNewest ? confirmation.ageMilliseconds : Infinity;
    return judgeKey({ identity, confirmationAge, removalMilliseconds });
  }

  /** Whether the routes in use are those of the newest configuration, which may not be readable here. */
  get #knowsNewest(): boolean {
    const { routes, newestVersion } = this.#options;
    return routes()?.configuration.version === newestVersion();
  }

  /**
   * Whether keys are in use and the leader's word, which is missing, is due at any moment: after a start or
   * a freeze. A process that has lost the leader refuses at once. Purpose: eight gateways that were frozen
   * for six seconds refused 150 requests that had waited, some milliseconds before the word came.
   */
  get #awaitsWord(): boolean {
    return !this.isConfirmed && this.#options.confirmation.isDue;
  }

  /** Waits for the leader's next word; all callers that need it share it. */
  async #awaitLeader({ arrivedAt }: Exchange): Promise<void> {
    const { confirmation, metrics } = this.#options;
    metrics.count('keys_asked_total');
    if (confirmation.waiting >= ASKERS_LIMIT) return;
    await confirmation.confirmedSince(arrivedAt, ASK_MILLISECONDS);
  }
}

import type { LeaderConfirmation } from '../cluster';
import type { Metrics } from '../core';
import {
  KEYS_UNCONFIRMED,
  type KeyDecision,
  type Refusal,
  UNKNOWN_KEY,
  checkKey,
  isConfirmationValid,
} from '../decisions';
import type { Route, RouteTable } from '../routes';
import { type Identity, identify } from '../teams';
import type { Exchange } from './exchange';

/**
 * Time for which a request waits for a confirmation by the leader before it is refused; two
 * intervals of the heartbeats to the leader.
 */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 600;

/** Requests that may wait at once, so that requests with forged keys cannot exhaust memory. */
const CONFIRMATION_WAITERS_LIMIT = 256;

export interface KeyGuardOptions {
  readonly routes: () => RouteTable | undefined;
  /**
   * Version of the newest configuration that this process has received, including one it cannot
   * parse.
   */
  readonly newestVersion: () => number;
  readonly confirmation: LeaderConfirmation;
  /** Time within which a removed key must stop working; undefined for no limit. */
  readonly removalMilliseconds: number | undefined;
  readonly metrics: Metrics;
}

/** Authenticates callers by their keys, on arrival of a request and again before each attempt. */
export class KeyGuard {
  readonly #options: KeyGuardOptions;

  constructor(options: KeyGuardOptions) {
    this.#options = options;
  }

  /** Whether keys can be verified at present; always true for a configuration without teams. */
  get isConfirmed(): boolean {
    const { routes, removalMilliseconds, confirmation } = this.#options;
    if (routes()?.teams === undefined) return true;
    return (
      this.#hasNewestConfiguration &&
      isConfirmationValid(confirmation.ageMilliseconds, removalMilliseconds)
    );
  }

  /** Sets the caller's team on the exchange; returns a refusal if the caller may not be served. */
  async admit(exchange: Exchange, route: Route): Promise<Refusal | undefined> {
    const identity = this.#identify(exchange, route.isPublic);
    const decision = this.#checkIdentity(identity);
    const mustWait = identity.kind === 'team' ? this.#awaitsConfirmation : decision.kind === 'ask';
    if (!mustWait) return this.#applyDecision(exchange, identity, decision);
    await this.#awaitConfirmation(exchange);
    const updated = this.#identify(exchange, route.isPublic);
    return this.#applyDecision(exchange, updated, this.#checkIdentity(updated));
  }

  /** Returns a refusal if the key of an admitted request is no longer valid. */
  recheck(exchange: Exchange): Refusal | undefined {
    const { team } = exchange;
    if (team === undefined) return undefined;
    const identity = this.#identify(exchange, false);
    if (identity.kind !== 'team' || identity.team.name !== team.name) return UNKNOWN_KEY;
    const decision = this.#checkIdentity(identity);
    return decision.kind === 'refuse' ? decision.refusal : undefined;
  }

  #applyDecision(
    exchange: Exchange,
    identity: Identity,
    decision: KeyDecision,
  ): Refusal | undefined {
    const { routes, confirmation, removalMilliseconds } = this.#options;
    exchange.hidesKey = routes()?.teams !== undefined;
    exchange.team = identity.kind === 'team' ? identity.team : undefined;
    if (decision.kind === 'serve') return undefined;
    const refusal =
      decision.kind === 'refuse' ? decision.refusal : this.#refusalForUnknownKey(exchange);
    const age = confirmation.ageMilliseconds;
    exchange.recordDecision({ step: 'key', verdict: refusal.code, age, removalMilliseconds });
    return refusal;
  }

  /**
   * A key is definitely unknown only if the leader confirmed the configuration after the request
   * arrived.
   */
  #refusalForUnknownKey({ arrivedAt }: Exchange): Refusal {
    const { confirmation } = this.#options;
    return confirmation.isConfirmedSince(arrivedAt) ? UNKNOWN_KEY : KEYS_UNCONFIRMED;
  }

  #identify({ head }: Exchange, isPublic: boolean): Identity {
    return identify(this.#options.routes()?.teams, { key: head.key, isPublic });
  }

  #checkIdentity(identity: Identity): KeyDecision {
    const { confirmation, removalMilliseconds } = this.#options;
    const confirmationAge = this.#hasNewestConfiguration ? confirmation.ageMilliseconds : Infinity;
    return checkKey({ identity, confirmationAge, removalMilliseconds });
  }

  /** False while the newest configuration cannot be parsed by this process. */
  get #hasNewestConfiguration(): boolean {
    const { routes, newestVersion } = this.#options;
    return routes()?.configuration.version === newestVersion();
  }

  /**
   * Whether the confirmation is missing or expired only because this process just started or was
   * suspended, so that a new one is due shortly. A process that has lost its connection to the
   * leader refuses at once.
   */
  get #awaitsConfirmation(): boolean {
    return !this.isConfirmed && this.#options.confirmation.isInGracePeriod;
  }

  /** Waits until the leader confirms the configuration, or the timeout passes. */
  async #awaitConfirmation({ arrivedAt }: Exchange): Promise<void> {
    const { confirmation, metrics } = this.#options;
    metrics.count('keys_asked_total');
    if (confirmation.waiterCount >= CONFIRMATION_WAITERS_LIMIT) return;
    await confirmation.waitForConfirmation(arrivedAt, CONFIRMATION_TIMEOUT_MILLISECONDS);
  }
}

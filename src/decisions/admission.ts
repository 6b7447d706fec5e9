import type { Refusal } from './refusal';

/** Timeout of the budget reservation and the chain lookup while a quorum is reachable. */
const PREPARATION_TIMEOUT_MILLISECONDS = 1500;

/**
 * Timeout while no quorum is reachable. Long enough for stores that have recovered, which answer
 * within 5 ms, and below a quarter of the shortest target latency, 200 ms, so that the caller can
 * retry at another gateway.
 */
const PREPARATION_TIMEOUT_WITHOUT_QUORUM_MILLISECONDS = 45;

/** `Retry-After` of a refusal when too few stores answered although a quorum is reachable. */
const STORES_UNAVAILABLE_RETRY_SECONDS = 0.3;

/**
 * `Retry-After` of a refusal while no quorum is reachable. Covers a restart of all processes, which
 * takes about a second; callers retry only a few times.
 */
const NO_QUORUM_RETRY_SECONDS = 1;

/** Result of reading a value from the stores. */
export type StoreResult<Value> =
  | { readonly kind: 'known'; readonly value: Value }
  /** Fewer stores than a quorum answered. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** `Chain` holds the earlier turns that the turn continues. */
export interface AdmissionInput<Chain> {
  /** The value is undefined if the turn to continue does not exist. */
  readonly chain: StoreResult<Chain | undefined>;
  /** Whether the turn fits in the remaining budget of its program. */
  readonly fitsBudget: StoreResult<boolean>;
  /** Whether this process currently reaches a quorum of the stores. */
  readonly reachesQuorum: boolean;
}

export type Admission<Chain> =
  | { readonly kind: 'admitted'; readonly chain: Chain }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Maximum time that a turn waits for the stores before it is refused; milliseconds. */
export function preparationTimeout(reachesQuorum: boolean): number {
  return reachesQuorum
    ? PREPARATION_TIMEOUT_MILLISECONDS
    : PREPARATION_TIMEOUT_WITHOUT_QUORUM_MILLISECONDS;
}

/**
 * Decides whether a turn may be sent. A chain that is unavailable takes precedence over the budget.
 */
export function admitTurn<Chain>(input: AdmissionInput<Chain>): Admission<Chain> {
  const { chain, fitsBudget, reachesQuorum } = input;
  if (chain.kind === 'unavailable') return refuseStoresUnavailable(chain.reason, reachesQuorum);
  if (chain.value === undefined) return { kind: 'refused', refusal: TURN_NOT_FOUND };
  if (fitsBudget.kind === 'unavailable') {
    return refuseStoresUnavailable(fitsBudget.reason, reachesQuorum);
  }
  if (!fitsBudget.value) return { kind: 'refused', refusal: BUDGET_EXHAUSTED };
  return { kind: 'admitted', chain: chain.value };
}

const TURN_NOT_FOUND: Refusal = {
  status: 404,
  code: 'no_such_turn',
  message: 'the turn that is to be continued does not exist or is kept no longer',
};

const BUDGET_EXHAUSTED: Refusal = {
  status: 402,
  code: 'budget_spent',
  message: 'the turn does not fit in what is left of the budget; it was not run',
};

function refuseStoresUnavailable(reason: string, reachesQuorum: boolean): Admission<never> {
  const refusal: Refusal = {
    status: 503,
    code: 'turns_unavailable',
    message: `${reason}; the turn was not run`,
    retryAfterSeconds: reachesQuorum ? STORES_UNAVAILABLE_RETRY_SECONDS : NO_QUORUM_RETRY_SECONDS,
  };
  return { kind: 'refused', refusal };
}

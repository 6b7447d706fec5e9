import type { Refusal } from './refusal';

/** Longest time spent on budget and chain before a turn is refused; milliseconds. */
const PREPARE_MILLISECONDS = 1500;

/**
 * The same while no quorum of the stores is reached. Stores that are back answer within 5 ms, and a
 * refusal should come within a quarter of the shortest aim, 200 ms; another gateway may do better.
 */
const PREPARE_OUT_OF_REACH_MILLISECONDS = 45;

/** Pause that a refusal asks for where too few stores answered this time; seconds. */
const STORES_RETRY_SECONDS = 0.3;

/**
 * The same while no quorum is reached: processes that all start again take about a second, and a
 * caller asks only a few times.
 */
const OUT_OF_REACH_RETRY_SECONDS = 1;

/** What was learned of something that the stores keep. */
export type Learned<Value> =
  | { readonly kind: 'known'; readonly value: Value }
  /** Too few stores answered. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** What the admission of a turn rests on; `Chain` is what a turn continues. */
export interface AdmissionSnapshot<Chain> {
  /** Nothing where the turn that is continued does not exist. */
  readonly chain: Learned<Chain | undefined>;
  /** Whether the turn fits in what is left of its program's budget. */
  readonly fitsBudget: Learned<boolean>;
  /** Whether this process reaches a quorum of the stores at present. */
  readonly reachesQuorum: boolean;
}

export type Admission<Chain> =
  | { readonly kind: 'admitted'; readonly chain: Chain }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/**
 * Longest time for which a turn waits for the stores; milliseconds. Answers stores that are down or cut
 * off: a turn that can't be prepared is refused before it has used up a quarter of its aim.
 */
export function preparationTime(reachesQuorum: boolean): number {
  return reachesQuorum ? PREPARE_MILLISECONDS : PREPARE_OUT_OF_REACH_MILLISECONDS;
}

/** Whether a turn may be sent. What is unknown of its chain goes before what is known of its budget. */
export function admitTurn<Chain>(snapshot: AdmissionSnapshot<Chain>): Admission<Chain> {
  const { chain, fitsBudget, reachesQuorum } = snapshot;
  if (chain.kind === 'unavailable') return refuseWithoutStores(chain.reason, reachesQuorum);
  if (chain.value === undefined) return { kind: 'refused', refusal: NO_SUCH_TURN };
  if (fitsBudget.kind === 'unavailable') {
    return refuseWithoutStores(fitsBudget.reason, reachesQuorum);
  }
  if (!fitsBudget.value) return { kind: 'refused', refusal: BUDGET_SPENT };
  return { kind: 'admitted', chain: chain.value };
}

const NO_SUCH_TURN: Refusal = {
  status: 404,
  code: 'no_such_turn',
  message: 'the turn that is to be continued does not exist or is kept no longer',
};

const BUDGET_SPENT: Refusal = {
  status: 402,
  code: 'budget_spent',
  message: 'the turn does not fit in what is left of the budget; it was not run',
};

function refuseWithoutStores(reason: string, reachesQuorum: boolean): Admission<never> {
  const refusal: Refusal = {
    status: 503,
    code: 'turns_unavailable',
    message: `${reason}; the turn was not run`,
    retryAfterSeconds: reachesQuorum ? STORES_RETRY_SECONDS : OUT_OF_REACH_RETRY_SECONDS,
  };
  return { kind: 'refused', refusal };
}

import type { ViewMember } from '../cluster';
import type { ReservationsAnswer } from './contract';
import { type Reservation, mergeReservations } from './records';

export interface ReserveOptions {
  readonly program: string;
  readonly turn: string;
  /** Upper bound on the tokens that the turn generates. */
  readonly maxTokens: number;
  /** Tokens that all turns of the program may generate together. */
  readonly budget: number;
  /** Monotonic time, milliseconds. */
  readonly deadline: number;
}

export interface ReserveOutcome {
  readonly fits: boolean;
  /** Tokens that the program's other turns have generated or reserved. */
  readonly committedTokens: number;
  /** The program's other turns that hold tokens; empty if the reservation fits. */
  readonly holders: readonly Reservation[];
}

/** Result of checking a reservation, stored at a quorum, against the program's budget. */
export interface BudgetEvaluation {
  /** `contended`: fits once the unsettled reservations with greater turn ids are released. */
  readonly kind: 'fits' | 'contended' | 'spent';
  /** Tokens that the program's other turns have generated or reserved. */
  readonly committedTokens: number;
  /** Empty if the reservation fits. */
  readonly holders: readonly Reservation[];
}

/** Checks a reservation against the union of the other reservations in the stores' answers. */
export function evaluateBudget(
  answers: readonly ReservationsAnswer[],
  { turn, maxTokens, budget }: Pick<ReserveOptions, 'turn' | 'maxTokens' | 'budget'>,
): BudgetEvaluation {
  let committedTokens = 0;
  let committedBefore = 0;
  const others = reservationsOfOtherTurns(answers, turn);
  for (const reservation of others) {
    committedTokens += reservation.tokens;
    const hasPrecedence = reservation.settled || reservation.turn < turn;
    if (hasPrecedence) committedBefore += reservation.tokens;
  }
  if (committedTokens + maxTokens <= budget) return { kind: 'fits', committedTokens, holders: [] };
  const kind = committedBefore + maxTokens <= budget ? 'contended' : 'spent';
  return { kind, committedTokens, holders: others.filter(({ tokens }) => tokens > 0) };
}

/**
 * Whether another turn's reservation is marked as written to all stores, unless all answers have it
 * as settled.
 */
export function seesSpreadReservation(
  answers: readonly ReservationsAnswer[],
  turn: string,
): boolean {
  const spreadTurns = new Set<string>();
  for (const { reservations } of answers) {
    for (const reservation of reservations) {
      if (reservation.spread === true && reservation.turn !== turn) {
        spreadTurns.add(reservation.turn);
      }
    }
  }
  const isSettledIn = (spreadTurn: string) => (answer: ReservationsAnswer) =>
    answer.reservations.some((other) => other.turn === spreadTurn && other.settled);
  return [...spreadTurns].some((spreadTurn) => !answers.every(isSettledIn(spreadTurn)));
}

/** A program's reservations at one store. */
export interface StoredReservations extends ReservationsAnswer {
  readonly store: ViewMember;
}

/** Reservations that a store lacks although another store's answer has them. */
export interface LackingStore {
  readonly store: ViewMember;
  readonly lacking: readonly Reservation[];
}

/** Compares the stores' latest answers; does not report reservations that only differ. */
export function findLackingStores(answers: readonly StoredReservations[]): readonly LackingStore[] {
  const latest = new Map(answers.map((answer) => [answer.store.name, answer]));
  const all = mergeByTurn(answers);
  return [...latest.values()].flatMap(({ store, reservations }) => {
    const held = new Set(reservations.map(({ turn }) => turn));
    const lacking = all.filter(({ turn }) => !held.has(turn));
    return lacking.length === 0 ? [] : [{ store, lacking }];
  });
}

/** Merges the answers by turn. */
function mergeByTurn(answers: readonly ReservationsAnswer[]): readonly Reservation[] {
  const merged = new Map<string, Reservation>();
  for (const { reservations } of answers) {
    for (const reservation of reservations) {
      const existing = merged.get(reservation.turn);
      merged.set(
        reservation.turn,
        existing === undefined ? reservation : mergeReservations(existing, reservation),
      );
    }
  }
  return [...merged.values()];
}

function reservationsOfOtherTurns(
  answers: readonly ReservationsAnswer[],
  turn: string,
): readonly Reservation[] {
  return mergeByTurn(answers).filter((reservation) => reservation.turn !== turn);
}

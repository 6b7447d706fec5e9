import type { ReservationsAnswer } from './contract';
import type { Reservation } from './records';

export interface ReserveOptions {
  readonly program: string;
  readonly turn: string;
  /** Tokens that the turn may generate at most. */
  readonly most: number;
  /** Tokens that all turns of the program may generate together. */
  readonly budget: number;
  /** Monotonic time after which the answer is of no use. */
  readonly deadline: number;
}

/** Whether a turn's tokens fit in what is left of the budget, and what the others take of it. */
export interface ReserveOutcome {
  readonly fits: boolean;
  /** Tokens that the program's other turns have generated, or may generate. */
  readonly taken: number;
}

/** What stores' answers say of a reservation that stands at a quorum of them. */
export interface BudgetVerdict {
  /** `contended`: it would fit if the open reservations whose names come later were given back. */
  readonly kind: 'fits' | 'contended' | 'spent';
  /** Tokens that the program's other turns have generated, or may generate. */
  readonly taken: number;
}

/** Judges a reservation by all that the stores know of the program's others. */
export function judgeBudget(
  answers: readonly ReservationsAnswer[],
  { turn, most, budget }: Pick<ReserveOptions, 'turn' | 'most' | 'budget'>,
): BudgetVerdict {
  let taken = 0;
  let takenBefore = 0;
  for (const reservation of othersOf(answers, turn)) {
    taken += reservation.tokens;
    const goesFirst = reservation.settled || reservation.turn < turn;
    if (goesFirst) takenBefore += reservation.tokens;
  }
  if (taken + most <= budget) return { kind: 'fits', taken };
  return { kind: takenBefore + most <= budget ? 'contended' : 'spent', taken };
}

/** The other turns' reservations, each once; what one store knows as settled is settled. */
function othersOf(answers: readonly ReservationsAnswer[], turn: string): Iterable<Reservation> {
  const others = new Map<string, Reservation>();
  for (const { reservations } of answers) {
    for (const reservation of reservations) {
      if (reservation.turn === turn) continue;
      const present = others.get(reservation.turn);
      if (present?.settled !== true) others.set(reservation.turn, reservation);
    }
  }
  return others.values();
}

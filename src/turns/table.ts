import type { Reservation, TurnRecord, TurnRow } from './records';

/**
 * Time beyond the retention for which turns and budgets are kept, since hosts disagree on the time
 * of day by seconds and programs go on for some time; milliseconds.
 */
const MARGIN_MILLISECONDS = 60_000;

/** Retention of a budget whose program has no whole turn yet; seconds. */
const DEFAULT_RETENTION_SECONDS = 60;

interface ProgramBudget {
  readonly reservations: Map<string, Reservation>;
  changedAt: number;
  retentionSeconds: number;
}

/** A chain as far as a store holds it. */
export interface StoredChain {
  /** Oldest first; empty if the turn that was asked for is not here. */
  readonly records: readonly TurnRecord[];
  /** The turn that is not here and that the oldest record, or the asker, names. */
  readonly missing: string | undefined;
}

/** The turns and budgets that one store holds. Rows may arrive in any order and more than once. */
export class TurnTable {
  readonly #turns = new Map<string, TurnRecord>();
  readonly #budgets = new Map<string, ProgramBudget>();

  get turnCount(): number {
    return this.#turns.size;
  }

  has(turn: string): boolean {
    return this.#turns.has(turn);
  }

  /** Takes a row; returns whether it told anything new. */
  apply(row: TurnRow): boolean {
    if (row.kind === 'turn') return this.#addTurn(row.record);
    let changed = false;
    for (const reservation of row.reservations) {
      changed = this.#reserve(row.program, reservation, row.changedAt) || changed;
    }
    return changed;
  }

  /** What the turns of a program take of its budget. */
  reservations(program: string): readonly Reservation[] {
    return [...(this.#budgets.get(program)?.reservations.values() ?? [])];
  }

  /** The chain that ends with a turn. */
  chain(turn: string): StoredChain {
    const records: TurnRecord[] = [];
    for (let id: string | undefined = turn; id !== undefined;) {
      const record = this.#turns.get(id);
      if (record === undefined) return { records: records.reverse(), missing: id };
      records.push(record);
      id = record.previous;
    }
    return { records: records.reverse(), missing: undefined };
  }

  /** All rows, as they are when they are read. */
  *rows(): Generator<TurnRow> {
    for (const [program, { reservations, changedAt }] of this.#budgets) {
      yield { kind: 'budget', program, changedAt, reservations: [...reservations.values()] };
    }
    for (const record of this.#turns.values()) yield { kind: 'turn', record };
  }

  /** Drops what nobody may ask for any more; returns the number of turns dropped. */
  expire(now: number): number {
    const live = this.#liveTurns(now);
    const before = this.#turns.size;
    for (const id of [...this.#turns.keys()]) {
      if (!live.has(id)) this.#turns.delete(id);
    }
    for (const [program, budget] of this.#budgets) {
      const keptUntil = budget.changedAt + budget.retentionSeconds * 1000 + MARGIN_MILLISECONDS;
      if (keptUntil < now) this.#budgets.delete(program);
    }
    return before - this.#turns.size;
  }

  /** A turn is kept with all that it continues. */
  #liveTurns(now: number): ReadonlySet<string> {
    const live = new Set<string>();
    for (const record of this.#turns.values()) {
      const keptUntil = record.endedAt + record.retentionSeconds * 1000 + MARGIN_MILLISECONDS;
      if (keptUntil < now) continue;
      for (
        let ancestor: TurnRecord | undefined = record;
        ancestor !== undefined && !live.has(ancestor.id);
        ancestor = this.#turns.get(ancestor.previous ?? '')
      ) {
        live.add(ancestor.id);
      }
    }
    return live;
  }

  #addTurn(record: TurnRecord): boolean {
    const { id, program, tokens, endedAt, retentionSeconds } = record;
    this.#reserve(program, { turn: id, tokens, settled: true }, endedAt);
    const budget = this.#budgets.get(program);
    if (budget !== undefined) {
      budget.retentionSeconds = Math.max(budget.retentionSeconds, retentionSeconds);
    }
    if (this.#turns.has(id)) return false;
    this.#turns.set(id, record);
    return true;
  }

  /** What is settled stays so, whatever arrives later. */
  #reserve(program: string, reservation: Reservation, at: number): boolean {
    const budget = this.#budgets.get(program) ?? {
      reservations: new Map<string, Reservation>(),
      changedAt: at,
      retentionSeconds: DEFAULT_RETENTION_SECONDS,
    };
    this.#budgets.set(program, budget);
    budget.changedAt = Math.max(budget.changedAt, at);
    const present = budget.reservations.get(reservation.turn);
    if (present !== undefined && (present.settled || !reservation.settled)) return false;
    budget.reservations.set(reservation.turn, reservation);
    return true;
  }
}

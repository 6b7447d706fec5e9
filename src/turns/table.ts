import {
  type Reservation,
  type TurnRecord,
  type TurnRow,
  estimateTurnBytes,
  mergeReservations,
} from './records';

/** Time beyond the retention for which rows are kept, for clock skew and continuing programs. */
const RETENTION_MARGIN_MILLISECONDS = 60_000;

/** Retention of a budget whose program has no completed turn yet. */
const DEFAULT_RETENTION_SECONDS = 60;

interface ProgramBudget {
  readonly reservations: Map<string, Reservation>;
  changedAt: number;
  retentionSeconds: number;
}

/** The latest turns of a chain, as one store holds them. */
export interface StoredChain {
  /** Oldest first; empty if the requested turn is absent. */
  readonly records: readonly TurnRecord[];
  /** Id of the turn that the oldest record continues, or of the requested one if that is absent. */
  readonly missing: string | undefined;
}

/** In-memory turns and budgets of a store. Rows may be applied in any order and repeatedly. */
export class TurnTable {
  readonly #turns = new Map<string, TurnRecord>();
  #turnBytes = 0;
  readonly #budgets = new Map<string, ProgramBudget>();

  get turnCount(): number {
    return this.#turns.size;
  }

  /** Estimated size of all turns; bytes. */
  get turnBytes(): number {
    return this.#turnBytes;
  }

  clear(): void {
    this.#turns.clear();
    this.#turnBytes = 0;
    this.#budgets.clear();
  }

  has(turn: string): boolean {
    return this.#turns.has(turn);
  }

  /** Returns whether the row changed anything. */
  apply(row: TurnRow): boolean {
    if (row.kind === 'turn') return this.#addTurn(row.record);
    let changed = false;
    for (const reservation of row.reservations) {
      changed = this.#applyReservation(row.program, reservation, row.changedAt) || changed;
    }
    return changed;
  }

  reservations(program: string): readonly Reservation[] {
    return [...(this.#budgets.get(program)?.reservations.values() ?? [])];
  }

  /** The chain that ends with the given turn, or its latest turns of `limitBytes` in all. */
  chain(turn: string, limitBytes = Infinity): StoredChain {
    const records: TurnRecord[] = [];
    let bytes = 0;
    let missing: string | undefined = turn;
    for (const record of this.#ancestry(turn)) {
      if (bytes >= limitBytes) break;
      bytes += estimateTurnBytes(record);
      records.push(record);
      missing = record.previous;
    }
    return { records: records.reverse(), missing };
  }

  /** Id of the first turn that is absent on the way from a turn to the start of its chain. */
  missingAncestor(turn: string): string | undefined {
    let missing: string | undefined = turn;
    for (const { previous } of this.#ancestry(turn)) missing = previous;
    return missing;
  }

  /** Iterates without a copy: changes during the iteration may be included. */
  *rows(): Generator<TurnRow> {
    for (const [program, { reservations, changedAt }] of this.#budgets) {
      yield { kind: 'budget', program, changedAt, reservations: [...reservations.values()] };
    }
    for (const record of this.#turns.values()) yield { kind: 'turn', record };
  }

  /** Removes rows past their retention; `now` is wall-clock time. Returns the count of turns. */
  expire(now: number): number {
    const retained = this.#retainedTurns(now);
    const before = this.#turns.size;
    for (const [id, record] of [...this.#turns]) {
      if (retained.has(id)) continue;
      this.#turns.delete(id);
      this.#turnBytes -= estimateTurnBytes(record);
    }
    for (const [program, budget] of this.#budgets) {
      const keptUntil =
        budget.changedAt + budget.retentionSeconds * 1000 + RETENTION_MARGIN_MILLISECONDS;
      if (keptUntil < now) this.#budgets.delete(program);
    }
    return before - this.#turns.size;
  }

  /**
   * Ids of the turns within their retention, of all their ancestors, and of the other turns of their
   * programs: a store may lack a turn between one that is retained and an ancestor that it holds.
   */
  #retainedTurns(now: number): ReadonlySet<string> {
    const programs = this.#retainedPrograms(now);
    const retained = new Set<string>();
    for (const record of this.#turns.values()) {
      if (!programs.has(record.program)) continue;
      for (
        let ancestor: TurnRecord | undefined = record;
        ancestor !== undefined && !retained.has(ancestor.id);
        ancestor = this.#turns.get(ancestor.previous ?? '')
      ) {
        retained.add(ancestor.id);
      }
    }
    return retained;
  }

  /** Programs with a turn within its retention. */
  #retainedPrograms(now: number): ReadonlySet<string> {
    const programs = new Set<string>();
    for (const { program, endedAt, retentionSeconds } of this.#turns.values()) {
      const keptUntil = endedAt + retentionSeconds * 1000 + RETENTION_MARGIN_MILLISECONDS;
      if (keptUntil >= now) programs.add(program);
    }
    return programs;
  }

  /**
   * A turn and the turns that it continues, newest first, up to the first absent one. Ends also if
   * the chain is a cycle, as callers that use an id twice may cause.
   */
  *#ancestry(turn: string): Generator<TurnRecord> {
    let remaining = this.#turns.size;
    let record = this.#turns.get(turn);
    for (; record !== undefined && remaining > 0; remaining -= 1) {
      yield record;
      record = this.#turns.get(record.previous ?? '');
    }
  }

  #addTurn(record: TurnRecord): boolean {
    const { id, program, tokens, endedAt, retentionSeconds } = record;
    const bytes = estimateTurnBytes(record);
    this.#applyReservation(program, { turn: id, tokens, settled: true }, endedAt);
    const budget = this.#budgets.get(program);
    if (budget !== undefined) {
      budget.retentionSeconds = Math.max(budget.retentionSeconds, retentionSeconds);
    }
    if (this.#turns.has(id)) return false;
    this.#turns.set(id, record);
    this.#turnBytes += bytes;
    return true;
  }

  #applyReservation(program: string, reservation: Reservation, changedAt: number): boolean {
    const budget = this.#budgets.get(program) ?? {
      reservations: new Map<string, Reservation>(),
      changedAt,
      retentionSeconds: DEFAULT_RETENTION_SECONDS,
    };
    this.#budgets.set(program, budget);
    budget.changedAt = Math.max(budget.changedAt, changedAt);
    const existing = budget.reservations.get(reservation.turn);
    const merged = existing === undefined ? reservation : mergeReservations(existing, reservation);
    if (merged === existing) return false;
    budget.reservations.set(reservation.turn, merged);
    return true;
  }
}

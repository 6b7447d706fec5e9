import type { Clock } from '../core';
import type { PullRequest } from './contract';
import type { TurnRow } from './records';
import type { TurnTable } from './table';

/** Bytes of rows in one answer; larger ones would hold other answers up. */
const PAGE_BYTES = 256 * 1024;

/** Time after which a filling that nobody goes on with is forgotten; milliseconds. */
const FORGET_MILLISECONDS = 30_000;

interface Session {
  readonly rows: readonly TurnRow[];
  usedAt: number;
}

/** What other stores are being filled with, page by page. */
export class PullSessions {
  readonly #table: TurnTable;
  readonly #clock: Clock;
  readonly #sessions = new Map<string, Session>();

  constructor(table: TurnTable, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /** The rows from an offset on; those that come later reach the asker by themselves. */
  take({ filling, offset, held }: PullRequest): {
    readonly rows: readonly TurnRow[];
    readonly final: boolean;
  } {
    this.#forget();
    const session = this.#sessions.get(filling) ?? { rows: this.#rowsWithout(held), usedAt: 0 };
    session.usedAt = this.#clock.monotonic();
    this.#sessions.set(filling, session);
    let end = offset;
    for (let bytes = 0; end < session.rows.length && bytes < PAGE_BYTES; end += 1) {
      bytes += sizeOf(session.rows[end]);
    }
    const final = end >= session.rows.length;
    return { rows: session.rows.slice(offset, end), final };
  }

  #rowsWithout(held: readonly string[]): readonly TurnRow[] {
    const known = new Set(held);
    const rows: TurnRow[] = [];
    for (const row of this.#table.rows()) {
      if (row.kind === 'budget' || !known.has(row.record.id)) rows.push(row);
    }
    return rows;
  }

  #forget(): void {
    const since = this.#clock.monotonic() - FORGET_MILLISECONDS;
    for (const [filling, { usedAt }] of this.#sessions) {
      if (usedAt < since) this.#sessions.delete(filling);
    }
  }
}

/** Bytes that a row takes besides its bodies, roughly. */
const ROW_BYTES = 200;

function sizeOf(row: TurnRow | undefined): number {
  if (row?.kind !== 'turn') return ROW_BYTES * (1 + (row?.reservations.length ?? 0));
  return ROW_BYTES + row.record.input.length + row.record.output.length;
}

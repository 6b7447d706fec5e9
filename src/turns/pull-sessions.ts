import type { Clock } from '../core';
import type { PullRequest } from './contract';
import { type TurnRow, estimateTurnBytes } from './records';
import type { TurnTable } from './table';

/** Size after which a page is closed, so that it does not delay other answers. */
const PAGE_LIMIT_BYTES = 256 * 1024;

const IDLE_TIMEOUT_MILLISECONDS = 30_000;

interface Session {
  readonly rows: readonly TurnRow[];
  usedAt: number;
}

export interface PullPage {
  readonly rows: readonly TurnRow[];
  readonly final: boolean;
  /** Whether the requester has to start a new session. */
  readonly interrupted: boolean;
}

const INTERRUPTED: PullPage = { rows: [], final: false, interrupted: true };

/** Serves the backfills of other stores from a copy of the row list per session. */
export class PullSessions {
  readonly #table: TurnTable;
  readonly #clock: Clock;
  readonly #sessions = new Map<string, Session>();

  constructor(table: TurnTable, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /**
   * Rows added after the session began are left out: they belong to the view that the requester is a
   * member of, whose quorums intersect. A session that was evicted, or began before a restart, is
   * interrupted: offsets in a new list could skip rows.
   */
  readPage({ filling: sessionId, offset, held: excludedTurnIds }: PullRequest): PullPage {
    this.#evictIdle();
    const known = this.#sessions.get(sessionId);
    if (known === undefined && offset > 0) return INTERRUPTED;
    const session = known ?? { rows: this.#rowsWithout(excludedTurnIds), usedAt: 0 };
    session.usedAt = this.#clock.monotonic();
    this.#sessions.set(sessionId, session);
    let end = offset;
    for (let bytes = 0; end < session.rows.length && bytes < PAGE_LIMIT_BYTES; end += 1) {
      bytes += sizeOf(session.rows[end]);
    }
    const final = end >= session.rows.length;
    return { rows: session.rows.slice(offset, end), final, interrupted: false };
  }

  /** Interrupts all sessions. */
  clear(): void {
    this.#sessions.clear();
  }

  #rowsWithout(turnIds: readonly string[]): readonly TurnRow[] {
    const excluded = new Set(turnIds);
    const rows: TurnRow[] = [];
    for (const row of this.#table.rows()) {
      if (row.kind === 'budget' || !excluded.has(row.record.id)) rows.push(row);
    }
    return rows;
  }

  #evictIdle(): void {
    const since = this.#clock.monotonic() - IDLE_TIMEOUT_MILLISECONDS;
    for (const [sessionId, { usedAt }] of this.#sessions) {
      if (usedAt < since) this.#sessions.delete(sessionId);
    }
  }
}

/** Estimated size of a reservation, and of a budget besides its reservations; bytes. */
const RESERVATION_BYTES = 200;

function sizeOf(row: TurnRow | undefined): number {
  if (row?.kind === 'turn') return estimateTurnBytes(row.record);
  return RESERVATION_BYTES * (1 + (row?.reservations.length ?? 0));
}

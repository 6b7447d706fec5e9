import { type Clock, type Logger, messageOf } from '../core';
import type { ControlClient } from '../protocol';

/** Time for which a result is reused. */
const CACHE_MILLISECONDS = 250;
const QUERY_TIMEOUT_MILLISECONDS = 1000;

interface CachedLiveness {
  readonly dead: boolean;
  readonly queriedAt: number;
}

export interface EntryLivenessOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Asks the leader of the configuration group whether entry processes have ended. Queried only when
 * a step waits for an attempt of another entry.
 */
export class EntryLiveness {
  readonly #options: EntryLivenessOptions;
  readonly #cache = new Map<string, CachedLiveness>();

  constructor(options: EntryLivenessOptions) {
    this.#options = options;
  }

  /** Whether an entry, as name/incarnation, has ended; false if the leader can't be reached. */
  async isDead(identity: string): Promise<boolean> {
    const { clock } = this.#options;
    const cached = this.#cache.get(identity);
    if (cached !== undefined && clock.monotonic() - cached.queriedAt < CACHE_MILLISECONDS) {
      return cached.dead;
    }
    const dead = await this.#query(identity);
    const now = clock.monotonic();
    for (const [other, { queriedAt }] of this.#cache) {
      if (now - queriedAt >= CACHE_MILLISECONDS) this.#cache.delete(other);
    }
    this.#cache.set(identity, { dead, queriedAt: now });
    return dead;
  }

  async #query(identity: string): Promise<boolean> {
    const { client, logger } = this.#options;
    try {
      const { dead } = await client.call(
        (connection, signal) => connection.groups.entryLife.query({ identity }, { signal }),
        {
          deadlineMilliseconds: QUERY_TIMEOUT_MILLISECONDS,
          attemptMilliseconds: QUERY_TIMEOUT_MILLISECONDS,
        },
      );
      return dead;
    } catch (error) {
      logger.debug({ event: 'entry-life-unknown', identity, error: messageOf(error) });
      return false;
    }
  }
}

import { type Clock, type Logger, messageOf } from '../core';
import type { ControlClient } from '../protocol';

/** How long an answer counts, and how long one is waited for; milliseconds. */
const FRESH_MILLISECONDS = 250;
const ASK_MILLISECONDS = 1000;

interface Known {
  readonly dead: boolean;
  readonly askedAt: number;
}

export interface EntryLivenessOptions {
  readonly client: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Whether entry processes have ended, as the leader of the configuration knows it. The leaders of
 * the other groups ask only when a step waits for another entry, which is seldom.
 */
export class EntryLiveness {
  readonly #options: EntryLivenessOptions;
  readonly #known = new Map<string, Known>();

  constructor(options: EntryLivenessOptions) {
    this.#options = options;
  }

  /** Whether an entry, as name/incarnation, has surely ended; no when nobody can tell. */
  async isDead(identity: string): Promise<boolean> {
    const { clock } = this.#options;
    const known = this.#known.get(identity);
    if (known !== undefined && clock.monotonic() - known.askedAt < FRESH_MILLISECONDS) {
      return known.dead;
    }
    const dead = await this.#ask(identity);
    const now = clock.monotonic();
    for (const [other, { askedAt }] of this.#known) {
      if (now - askedAt >= FRESH_MILLISECONDS) this.#known.delete(other);
    }
    this.#known.set(identity, { dead, askedAt: now });
    return dead;
  }

  async #ask(identity: string): Promise<boolean> {
    const { client, logger } = this.#options;
    try {
      const { dead } = await client.call(
        (connection, signal) => connection.groups.entryLife.query({ identity }, { signal }),
        { deadlineMilliseconds: ASK_MILLISECONDS, attemptMilliseconds: ASK_MILLISECONDS },
      );
      return dead;
    } catch (error) {
      logger.debug({ event: 'entry-life-unknown', identity, error: messageOf(error) });
      return false;
    }
  }
}

import { type Clock, type Logger, messageOf } from '../core';
import type { Caller } from '../link';
import type { ClusterContract } from './contract';

/** Longest wait for the first seed's answer; milliseconds. */
const ANSWER_MILLISECONDS = 1000;

export interface FoundingOptions {
  readonly self: string;
  /** Address of this process's connections with others, IP:port. */
  readonly address: string;
  /** Whether this is the first start of the whole system. */
  readonly isFirstStart: boolean;
  readonly seeds: () => readonly string[];
  readonly peers: Caller<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Decides which host founds the replicated state. At the first start all hosts have the same
 * seeds; the first of them in order grants the right once, to the first host that asks.
 */
export class Founding {
  readonly #options: FoundingOptions;
  #grantedTo: string | undefined;
  #granted = false;

  constructor(options: FoundingOptions) {
    this.#options = options;
  }

  /** Whether this host may found the state. */
  get granted(): boolean {
    return this.#granted;
  }

  /** Grants the right to `host` if nobody else has it and this process is the first seed. */
  grant(host: string): boolean {
    const { isFirstStart, logger } = this.#options;
    if (!isFirstStart || !this.#isArbiter) return false;
    if (this.#grantedTo === undefined) {
      this.#grantedTo = host;
      logger.info({ event: 'founding-granted', host });
    }
    return this.#grantedTo === host;
  }

  /** Asks for the right, once the host's own copy of the state is known to be new. */
  async ask(): Promise<void> {
    const { self, isFirstStart, peers, logger } = this.#options;
    const arbiter = this.#arbiter;
    if (!isFirstStart || this.#granted || arbiter === undefined) return;
    try {
      this.#granted = this.#isArbiter
        ? this.grant(self)
        : await peers.call(arbiter, 'cluster.found', self, ANSWER_MILLISECONDS);
    } catch (error) {
      logger.debug({ event: 'founding-not-asked', error: messageOf(error) });
    }
  }

  get #arbiter(): string | undefined {
    return [...this.#options.seeds()].sort()[0];
  }

  get #isArbiter(): boolean {
    return this.#arbiter === this.#options.address;
  }
}

import { type Clock, type Logger, messageOf } from '../core';
import type { RpcClient } from '../rpc';
import type { ClusterContract } from './contract';

const RESPONSE_TIMEOUT_MILLISECONDS = 1000;

export interface ClusterBootstrapOptions {
  readonly self: string;
  /** IP:port on which this process accepts connections of other processes. */
  readonly address: string;
  /** Whether this is the first start of the whole system. */
  readonly isFirstStart: boolean;
  readonly seeds: () => readonly string[];
  readonly peers: RpcClient<ClusterContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Selects the host that bootstraps the cluster state. At the first start all hosts have the same
 * seeds; the first seed in sorted order grants permission to the first host that requests it.
 */
export class ClusterBootstrap {
  readonly #options: ClusterBootstrapOptions;
  #grantee: string | undefined;
  #granted = false;

  constructor(options: ClusterBootstrapOptions) {
    this.#options = options;
  }

  /** Whether this host may bootstrap the cluster state. */
  get isGranted(): boolean {
    return this.#granted;
  }

  /**
   * Grants permission to `host` if this process is the first seed and granted it to no other host.
   */
  grant(host: string): boolean {
    const { isFirstStart, logger } = this.#options;
    if (!isFirstStart || !this.#isFirstSeed) return false;
    if (this.#grantee === undefined) {
      this.#grantee = host;
      logger.info({ event: 'founding-granted', host });
    }
    return this.#grantee === host;
  }

  /** Requests permission; only to be called while this host's replica is new. */
  async requestGrant(): Promise<void> {
    const { self, isFirstStart, peers, logger } = this.#options;
    const firstSeed = this.#firstSeed;
    if (!isFirstStart || this.#granted || firstSeed === undefined) return;
    try {
      this.#granted = this.#isFirstSeed
        ? this.grant(self)
        : await peers.call(firstSeed, 'cluster.found', self, RESPONSE_TIMEOUT_MILLISECONDS);
    } catch (error) {
      logger.debug({ event: 'founding-not-asked', error: messageOf(error) });
    }
  }

  get #firstSeed(): string | undefined {
    return [...this.#options.seeds()].sort()[0];
  }

  get #isFirstSeed(): boolean {
    return this.#firstSeed === this.#options.address;
  }
}

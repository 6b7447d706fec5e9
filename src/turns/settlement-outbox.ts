import type { LatestValue, StoreView } from '../cluster';
import {
  type CancelTimer,
  type Clock,
  type Component,
  type Logger,
  type Metrics,
  RateLimitedLogLine,
  messageOf,
} from '../core';
import type { ConfirmingRpcClient } from '../rpc';
import type { SettleNotice, TurnContract } from './contract';

/** Delay before a settlement that a store may have missed is sent to it again. */
const REPEAT_DELAY_MILLISECONDS = 500;

/** Time for which a settlement is repeated; stores keep the budget of an idle program as long. */
const REPEAT_LIMIT_MILLISECONDS = 120_000;

/** Settlements that wait to be repeated, of all stores; beyond it, the oldest are dropped. */
const MISSED_LIMIT = 4096;

/** Minimum time between two `settlement-missed` log lines. */
const LOG_INTERVAL_MILLISECONDS = 1000;

/** A settlement that is sent to one store. */
interface Delivery {
  readonly notice: SettleNotice;
  /** Name of the store. */
  readonly store: string;
  /** Monotonic time; milliseconds. */
  readonly firstSentAt: number;
}

export interface SettlementOutboxOptions {
  readonly view: LatestValue<StoreView>;
  readonly peers: ConfirmingRpcClient<TurnContract>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Sends settlements of reservations to all stores, and repeats them to each store that may have
 * missed them: a reservation that all of a program's preferred replicas keep counts against its
 * budget until the budget expires.
 */
export class SettlementOutbox implements Component {
  readonly #options: SettlementOutboxOptions;
  readonly #missed = new Set<Delivery>();
  readonly #missedLog: RateLimitedLogLine;
  #cancelRepeat: CancelTimer | undefined;
  #isStopped = false;

  constructor(options: SettlementOutboxOptions) {
    this.#options = options;
    const { clock, logger } = options;
    this.#missedLog = new RateLimitedLogLine({
      event: 'settlement-missed',
      intervalMilliseconds: LOG_INTERVAL_MILLISECONDS,
      clock,
      logger,
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelRepeat?.();
    this.#missed.clear();
  }

  send(notice: SettleNotice): void {
    const { view, clock } = this.#options;
    const firstSentAt = clock.monotonic();
    for (const { name, address } of view.value?.members ?? []) {
      this.#deliver({ notice, store: name, firstSentAt }, address);
    }
  }

  #deliver(delivery: Delivery, address: string): void {
    const { peers } = this.#options;
    peers.castConfirmed(address, 'turns.settle', delivery.notice).catch((error: unknown) => {
      const { store, notice } = delivery;
      const { program, turn } = notice;
      this.#missedLog.write({ store, program, turn, reason: messageOf(error) });
      this.#keep(delivery);
    });
  }

  #keep(delivery: Delivery): void {
    if (this.#isStopped) return;
    const [oldest] = this.#missed;
    if (oldest !== undefined && this.#missed.size >= MISSED_LIMIT) this.#drop(oldest);
    this.#missed.add(delivery);
    this.#scheduleRepeat();
  }

  #scheduleRepeat(): void {
    this.#cancelRepeat ??= this.#options.clock.after(REPEAT_DELAY_MILLISECONDS, () => {
      this.#cancelRepeat = undefined;
      this.#repeat();
      if (this.#missed.size > 0) this.#scheduleRepeat();
    });
  }

  /** To a store without a connection only one settlement is sent, which opens the connection. */
  #repeat(): void {
    const { view, peers, clock, metrics } = this.#options;
    const addresses = new Map(
      view.value?.members.map(({ name, address }) => [name, address] as const),
    );
    const expiresBefore = clock.monotonic() - REPEAT_LIMIT_MILLISECONDS;
    const connecting = new Set<string>();
    for (const delivery of [...this.#missed]) {
      const address = addresses.get(delivery.store);
      if (address === undefined || delivery.firstSentAt < expiresBefore) {
        this.#drop(delivery);
        continue;
      }
      if (!peers.isConnected(address)) {
        if (connecting.has(address)) continue;
        connecting.add(address);
      }
      this.#missed.delete(delivery);
      metrics.count('settlements_repeated_total');
      this.#deliver(delivery, address);
    }
  }

  #drop(delivery: Delivery): void {
    this.#missed.delete(delivery);
    this.#options.metrics.count('settlements_dropped_total');
  }
}

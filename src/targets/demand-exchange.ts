import type { NodeDirectory, NodeInfo } from '../cluster';
import type { CancelTimer, Clock, Component } from '../core';
import type { EngineLoad } from '../decisions';
import type { CastHandlers, RpcClient, RpcContract } from '../rpc';
import type { CoordinatorSelector } from './coordinator-selector';
import {
  type DemandEntry,
  type EngineDemand,
  type EngineDemandTracker,
  sumDemand,
} from './engine-demand';
import { SentMessages } from './sent-messages';

/** Interval between reports; the part per gateway bounds the messages of the coordinator. */
const INTERVAL = { baseMilliseconds: 200, millisecondsPerGateway: 2 } as const;

/** Interval after which an unchanged report or total is sent again. */
const RESEND_INTERVAL_MILLISECONDS = 600;

/** Time after which reports and totals expire; more than two missed messages. */
const VALIDITY_MILLISECONDS = 1500;

/**
 * Requests in flight per slot from which on demand is exchanged. Shares matter from 0.8 on; the
 * margin lets all gateways have reported by then.
 */
const BUSY_REQUESTS_PER_SLOT = 0.7;

export interface DemandContract {
  readonly calls: RpcContract['calls'];
  readonly casts: {
    /** Requests in flight from one gateway; empty when its demand has ended. */
    readonly 'targets.demand': {
      readonly gateway: string;
      readonly entries: readonly DemandEntry[];
    };
    /** Requests in flight from all gateways, including the receiver. */
    readonly 'targets.demand-total': {
      readonly coordinator: string;
      readonly entries: readonly DemandEntry[];
    };
  };
}

export interface DemandExchangeOptions {
  readonly self: NodeInfo;
  readonly directory: Pick<NodeDirectory, 'ofKind'>;
  /** Shared with the load exchange, whose messages show that the coordinator is responsive. */
  readonly coordinators: CoordinatorSelector;
  readonly peers: Pick<RpcClient<DemandContract>, 'cast'>;
  readonly tracker: Pick<EngineDemandTracker, 'entries'>;
  /** Load of all engines; undefined without teams. */
  readonly engines: () => EngineLoad | undefined;
  readonly clock: Clock;
}

interface ReceivedDemand {
  readonly entries: readonly DemandEntry[];
  readonly receivedAt: number;
}

/**
 * Reports this gateway's demand for engines to the coordinator while engines are busy, and receives
 * the totals of all gateways. All state is soft: reports and totals expire if they stop.
 */
export class DemandExchange implements Component, EngineDemand {
  readonly #options: DemandExchangeOptions;
  /** Latest report of each gateway, while this gateway is the coordinator. */
  readonly #reports = new Map<string, ReceivedDemand>();
  readonly #sentMessages: SentMessages;
  #totals: ReceivedDemand = { entries: [], receivedAt: -Infinity };
  #isBusy = false;
  #cancelTimer: CancelTimer = () => undefined;

  constructor(options: DemandExchangeOptions) {
    this.#options = options;
    const { clock, coordinators } = options;
    const resendMilliseconds = RESEND_INTERVAL_MILLISECONDS;
    this.#sentMessages = new SentMessages({ resendMilliseconds, clock });
    coordinators.onChange(() => {
      this.#sentMessages.clear();
    });
  }

  start(): void {
    this.#schedule();
  }

  stop(): void {
    this.#cancelTimer();
  }

  current(): ReturnType<EngineDemand['current']> {
    const { entries, receivedAt } = this.#totals;
    const ageMilliseconds = this.#options.clock.monotonic() - receivedAt;
    const isKnown = this.#isBusy && entries.length > 0 && ageMilliseconds < VALIDITY_MILLISECONDS;
    return isKnown ? { entries, ageMilliseconds } : undefined;
  }

  get casts(): CastHandlers<DemandContract> {
    const { clock, coordinators } = this.#options;
    return {
      'targets.demand': ({ gateway, entries }) => {
        this.#recordReport(gateway, entries);
      },
      'targets.demand-total': ({ coordinator, entries }) => {
        if (!coordinators.acceptFrom(coordinator)) return;
        this.#totals = { entries, receivedAt: clock.monotonic() };
      },
    };
  }

  #schedule(): void {
    const { clock, directory } = this.#options;
    const { baseMilliseconds, millisecondsPerGateway } = INTERVAL;
    const gateways = directory.ofKind('gateway').length;
    const interval = baseMilliseconds + millisecondsPerGateway * gateways;
    this.#cancelTimer = clock.after(interval, () => {
      this.#exchange();
      this.#schedule();
    });
  }

  #exchange(): void {
    const { self, coordinators, peers, engines, tracker } = this.#options;
    const load = engines();
    this.#isBusy = load !== undefined && isBusy(load);
    const entries = this.#isBusy ? tracker.entries() : [];
    const coordinator = coordinators.select();
    if (coordinator.name === self.name) {
      this.#recordReport(self.name, entries);
      this.#sendTotals();
      return;
    }
    if (!this.#needsSending(coordinator.name, entries, JSON.stringify(entries))) return;
    peers.cast(coordinator.address, 'targets.demand', { gateway: self.name, entries });
  }

  #recordReport(gateway: string, entries: readonly DemandEntry[]): void {
    const receivedAt = this.#options.clock.monotonic();
    if (entries.length === 0) this.#reports.delete(gateway);
    else this.#reports.set(gateway, { entries, receivedAt });
  }

  /** Sends to all gateways, as one without demand of its own also decides on first turns. */
  #sendTotals(): void {
    const { self, directory, peers, clock } = this.#options;
    const now = clock.monotonic();
    for (const [gateway, { receivedAt }] of this.#reports) {
      if (now - receivedAt >= VALIDITY_MILLISECONDS) this.#reports.delete(gateway);
    }
    const entries = sumDemand([...this.#reports.values()].map((report) => report.entries));
    this.#totals = { entries, receivedAt: now };
    const text = JSON.stringify(entries);
    for (const { node } of directory.ofKind('gateway')) {
      if (node.name === self.name || !this.#needsSending(node.name, entries, text)) continue;
      peers.cast(node.address, 'targets.demand-total', { coordinator: self.name, entries });
    }
  }

  /** The end of the demand is sent once. */
  #needsSending(receiver: string, entries: readonly DemandEntry[], text: string): boolean {
    return entries.length === 0
      ? this.#sentMessages.delete(receiver)
      : this.#sentMessages.recordIfDue(receiver, text);
  }
}

function isBusy({ load, slots }: EngineLoad): boolean {
  return slots > 0 && load >= slots * BUSY_REQUESTS_PER_SLOT;
}

import type { NodeDirectory, NodeInfo } from '../cluster';
import type { CancelTimer, Clock, Component } from '../core';
import type { RpcClient, CastHandlers, RpcContract } from '../rpc';
import type { CoordinatorSelector } from './coordinator-selector';
import type { TargetDirectory } from './directory';
import { SentMessages } from './sent-messages';

/** Minimum interval between reports; short compared with the duration of a turn. */
const MINIMUM_INTERVAL_MILLISECONDS = 20;

/**
 * Interval per gateway up to a maximum, which keeps the messages of the coordinator below 500 per
 * second; each message costs five system calls at both ends.
 */
const SMALL_CLUSTER_INTERVAL = { millisecondsPerGateway: 2, maximumMilliseconds: 40 } as const;

/**
 * Minimum interval per gateway, which keeps the messages of the coordinator below 1000 per second in
 * a large cluster.
 */
const INTERVAL_PER_GATEWAY_MILLISECONDS = 1;

/** Interval after which an unchanged report is sent again. */
const RESEND_INTERVAL_MILLISECONDS = 200;

/** Time after which a received report expires. */
const REPORT_VALIDITY_MILLISECONDS = 1500;

/** Requests in flight, by target id. */
export type Loads = readonly (readonly [target: string, requests: number])[];

/** Requests in flight from one gateway. */
export interface LoadReport {
  readonly gateway: string;
  readonly inFlight: Loads;
}

/** Requests in flight from all gateways other than the receiver, summed by the coordinator. */
export interface OtherLoadsReport {
  readonly coordinator: string;
  readonly inFlight: Loads;
}

export interface LoadContract {
  readonly calls: RpcContract['calls'];
  readonly casts: {
    readonly 'targets.load': LoadReport;
    readonly 'targets.load-elsewhere': OtherLoadsReport;
  };
}

export interface LoadExchangeOptions {
  readonly self: NodeInfo;
  readonly directory: NodeDirectory;
  readonly targets: TargetDirectory;
  readonly coordinators: CoordinatorSelector;
  readonly peers: Pick<RpcClient<LoadContract>, 'cast'>;
  readonly clock: Clock;
}

interface ReceivedReport {
  readonly inFlight: Loads;
  readonly receivedAt: number;
}

/**
 * Reports the requests in flight from this gateway to a coordinator and receives the sum of all
 * other gateways. The coordinator sums the reports and sends each gateway the sum of the others.
 * Without recent loads of each other, gateways would select the same targets at the same time.
 */
export class LoadExchange implements Component {
  readonly #options: LoadExchangeOptions;
  /** Latest report of each gateway, while this gateway is the coordinator. */
  readonly #reports = new Map<string, ReceivedReport>();
  readonly #sentMessages: SentMessages;
  #otherLoads: ReceivedReport = { inFlight: [], receivedAt: -Infinity };
  #cancelTimer: CancelTimer = () => undefined;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#sentMessages = new SentMessages({
      resendMilliseconds: RESEND_INTERVAL_MILLISECONDS,
      clock: options.clock,
    });
    options.coordinators.onChange(() => {
      this.#sentMessages.clear();
    });
  }

  start(): void {
    this.#schedule();
  }

  stop(): void {
    this.#cancelTimer();
  }

  get casts(): CastHandlers<LoadContract> {
    const { clock, coordinators } = this.#options;
    return {
      'targets.load': ({ gateway, inFlight }) => {
        this.#reports.set(gateway, { inFlight, receivedAt: clock.monotonic() });
      },
      'targets.load-elsewhere': ({ coordinator, inFlight }) => {
        if (!coordinators.acceptFrom(coordinator)) return;
        this.#otherLoads = { inFlight, receivedAt: clock.monotonic() };
        this.#apply();
      },
    };
  }

  #schedule(): void {
    const { clock, directory } = this.#options;
    const interval = intervalFor(directory.ofKind('gateway').length);
    this.#cancelTimer = clock.after(interval, () => {
      this.#exchange();
      this.#schedule();
    });
  }

  #exchange(): void {
    const { self, clock, coordinators, peers } = this.#options;
    const coordinator = coordinators.select();
    const own = this.#ownLoads();
    if (coordinator.name === self.name) {
      this.#reports.set(self.name, { inFlight: own, receivedAt: clock.monotonic() });
      this.#reportToGateways();
      return;
    }
    this.#expireOtherLoads();
    if (!this.#needsSending(coordinator.name, own)) return;
    peers.cast(coordinator.address, 'targets.load', { gateway: self.name, inFlight: own });
  }

  #ownLoads(): Loads {
    const loads: (readonly [string, number])[] = [];
    for (const { target, inFlight } of this.#options.targets.all()) {
      if (inFlight > 0) loads.push([target.id, inFlight]);
    }
    return loads;
  }

  /** Sends each gateway with a valid report the requests in flight from all others. */
  #reportToGateways(): void {
    const { self, directory, peers, clock } = this.#options;
    const since = clock.monotonic() - REPORT_VALIDITY_MILLISECONDS;
    for (const [name, { receivedAt }] of this.#reports) {
      if (receivedAt < since) this.#reports.delete(name);
    }
    const totals = sumLoads([...this.#reports.values()].map(({ inFlight }) => inFlight));
    for (const [name, { inFlight }] of this.#reports) {
      const others = subtractOwn(totals, inFlight);
      if (name === self.name) {
        this.#otherLoads = { inFlight: others, receivedAt: clock.monotonic() };
        this.#apply();
        continue;
      }
      const address = directory.get(name)?.node.address;
      if (address === undefined || !this.#needsSending(name, others)) continue;
      const report = { coordinator: self.name, inFlight: others };
      peers.cast(address, 'targets.load-elsewhere', report);
    }
  }

  #needsSending(receiver: string, loads: Loads): boolean {
    return this.#sentMessages.recordIfDue(receiver, JSON.stringify(loads));
  }

  #expireOtherLoads(): void {
    const age = this.#options.clock.monotonic() - this.#otherLoads.receivedAt;
    if (age < REPORT_VALIDITY_MILLISECONDS || this.#otherLoads.inFlight.length === 0) return;
    this.#otherLoads = { inFlight: [], receivedAt: this.#otherLoads.receivedAt };
    this.#apply();
  }

  #apply(): void {
    this.#options.targets.markLoadsUpdated();
    const otherLoads = new Map(this.#otherLoads.inFlight);
    for (const state of this.#options.targets.all()) {
      state.inFlightFromOthers = otherLoads.get(state.target.id) ?? 0;
    }
  }
}

/** Interval between reports; milliseconds. */
function intervalFor(gateways: number): number {
  const smallClusterInterval = Math.min(
    gateways * SMALL_CLUSTER_INTERVAL.millisecondsPerGateway,
    SMALL_CLUSTER_INTERVAL.maximumMilliseconds,
  );
  const largeClusterInterval = gateways * INTERVAL_PER_GATEWAY_MILLISECONDS;
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, smallClusterInterval, largeClusterInterval);
}

function sumLoads(all: readonly Loads[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const loads of all) {
    for (const [target, requests] of loads) sums.set(target, (sums.get(target) ?? 0) + requests);
  }
  return sums;
}

/** Subtracts the requests of one gateway from the totals. */
function subtractOwn(totals: ReadonlyMap<string, number>, own: Loads): Loads {
  const ownRequests = new Map(own);
  const others: (readonly [string, number])[] = [];
  for (const [target, total] of totals) {
    const remaining = total - (ownRequests.get(target) ?? 0);
    if (remaining > 0) others.push([target, remaining]);
  }
  return others;
}

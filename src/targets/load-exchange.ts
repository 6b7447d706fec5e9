import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Component, PeriodicTask } from '../core';
import type { Caller, CastHandlers, Contract } from '../link';
import type { TargetDirectory } from './directory';

/** Pause between messages; short against the time of a request. Milliseconds. */
const EXCHANGE_MILLISECONDS = 250;

/** Time after which what another process said of its load no longer counts; milliseconds. */
const BELIEF_MILLISECONDS = 1500;

/** Requests of one gateway that are under way, by target. */
export interface LoadReport {
  readonly gateway: string;
  readonly inFlight: readonly (readonly [target: string, requests: number])[];
}

export interface LoadContract {
  readonly calls: Contract['calls'];
  readonly casts: { readonly 'targets.load': LoadReport };
}

export interface LoadExchangeOptions {
  readonly self: NodeInfo;
  readonly directory: NodeDirectory;
  readonly targets: TargetDirectory;
  readonly peers: Pick<Caller<LoadContract>, 'cast'>;
  readonly clock: Clock;
}

interface HeardReport {
  readonly report: LoadReport;
  readonly heardAt: number;
}

/** Tells the other gateways what this one has under way, and adds up what they say. */
export class LoadExchange implements Component {
  readonly #options: LoadExchangeOptions;
  readonly #task: PeriodicTask;
  readonly #heard = new Map<string, HeardReport>();
  #spokeLast = false;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#task = new PeriodicTask(options.clock, EXCHANGE_MILLISECONDS, () => {
      this.#tell();
      this.#sum();
    });
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  get casts(): CastHandlers<LoadContract> {
    return {
      'targets.load': (report) => {
        this.#heard.set(report.gateway, { report, heardAt: this.#options.clock.monotonic() });
      },
    };
  }

  /** A gateway with nothing under way says so once. */
  #tell(): void {
    const { self, directory, targets, peers } = this.#options;
    const inFlight: (readonly [string, number])[] = [];
    for (const state of targets.all()) {
      if (state.inFlight > 0) inFlight.push([state.target.id, state.inFlight]);
    }
    const speaks = inFlight.length > 0;
    if (!speaks && !this.#spokeLast) return;
    this.#spokeLast = speaks;
    for (const { node } of directory.ofKind('gateway')) {
      if (node.name === self.name) continue;
      peers.cast(node.address, 'targets.load', { gateway: self.name, inFlight });
    }
  }

  #sum(): void {
    const since = this.#options.clock.monotonic() - BELIEF_MILLISECONDS;
    const sums = new Map<string, number>();
    for (const [gateway, { report, heardAt }] of this.#heard) {
      if (heardAt < since) {
        this.#heard.delete(gateway);
        continue;
      }
      for (const [target, requests] of report.inFlight) {
        sums.set(target, (sums.get(target) ?? 0) + requests);
      }
    }
    for (const state of this.#options.targets.all()) {
      state.inFlightElsewhere = sums.get(state.target.id) ?? 0;
    }
  }
}

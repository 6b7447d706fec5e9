import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Component, type Logger, PeriodicTask } from '../core';
import { SUSPECT_CRASHES } from '../decisions';
import type { CallHandlers, CastHandlers, ConfirmingRpcClient } from '../rpc';
import type { CrashContract, CrashReport } from './contract';
import { selectHolders } from './crash-holders';
import type { CrashTable, ObservedCrash } from './crash-table';

/** Time in which a holder answers; requests that lost two targets wait for it. */
const REPORT_TIMEOUT_MILLISECONDS = 150;

/** Interval of the check whether a gateway lacks a crash that it should know. */
const REPAIR_INTERVAL_MILLISECONDS = 300;

/** Gateways that one that has started asks for suspect requests. */
const ASKED_GATEWAYS = 3;

export interface CrashExchangeOptions {
  readonly self: NodeInfo;
  readonly directory: Pick<NodeDirectory, 'ofKind'>;
  readonly table: CrashTable;
  readonly peers: ConfirmingRpcClient<CrashContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Shares crashes between the gateways, so that a caller's next try meets them at any gateway. A crash
 * goes to the holders of its request. Only a request that is suspect is told to all gateways: when a
 * rack ends, thousands of requests have one crash each. What a gateway missed because it was lost or
 * paused is sent to it again, and one that starts asks for it.
 */
export class CrashExchange implements Component {
  readonly #options: CrashExchangeOptions;
  /** Number of crashes that runs of gateways have confirmed, by fingerprint. */
  readonly #delivered = new Map<string, Map<string, number>>();
  readonly #repair: PeriodicTask;
  /** The first question for suspect requests; undefined as long as no other gateway is known. */
  #firstAsk: Promise<void> | undefined;
  #hasAnswer = false;

  constructor(options: CrashExchangeOptions) {
    this.#options = options;
    this.#repair = new PeriodicTask(options.clock, REPAIR_INTERVAL_MILLISECONDS, () => {
      if (this.#firstAsk === undefined) void this.whenAsked();
      else if (!this.#hasAnswer) void this.#ask();
      this.#repairAll();
    });
  }

  start(): void {
    this.#repair.start();
  }

  stop(): void {
    this.#repair.stop();
  }

  get calls(): CallHandlers<CrashContract> {
    const { table } = this.#options;
    return {
      'crashes.report': (report) => {
        const { fingerprint } = report;
        if (this.#merge(report)) this.#tellIfSuspect(fingerprint);
        return this.#reportOf(fingerprint);
      },
      'crashes.suspects': () =>
        table
          .fingerprints()
          .filter((fingerprint) => table.countOf(fingerprint) >= SUSPECT_CRASHES)
          .map((fingerprint) => this.#reportOf(fingerprint)),
    };
  }

  get casts(): CastHandlers<CrashContract> {
    const { table, clock } = this.#options;
    return {
      'crashes.suspect': (report) => {
        this.#merge(report);
      },
      'crashes.answered': ({ fingerprint, agoMilliseconds }) => {
        const isSuspect = table.countOf(fingerprint) >= SUSPECT_CRASHES;
        const startedAt = clock.monotonic() - agoMilliseconds;
        const isChanged = table.markAnswered(fingerprint, startedAt);
        if (isChanged && isSuspect) this.#tellAnswered(this.#gateways(), fingerprint, startedAt);
      },
    };
  }

  /** Whether another gateway has told which requests are suspect. */
  get isInformed(): boolean {
    return this.#hasAnswer;
  }

  /**
   * Resolves once other gateways were asked for the suspect requests that they know of; at once if
   * this one knows no other.
   */
  async whenAsked(): Promise<void> {
    if (this.#firstAsk === undefined && this.#gateways().length > 0) this.#firstAsk = this.#ask();
    await this.#firstAsk;
  }

  /**
   * Reports the crashes of a request to its holders. Resolves once their answers are in the table, or
   * after the timeout.
   */
  async report(fingerprint: string): Promise<void> {
    this.#tellIfSuspect(fingerprint);
    await Promise.all(
      this.#holdersOf(fingerprint).map((holder) => this.#reportTo(holder, fingerprint)),
    );
  }

  /** Tells the holders that a target answered a request at an attempt that began at `startedAt`. */
  reportAnswered(fingerprint: string, startedAt: number): void {
    this.#tellAnswered(this.#holdersOf(fingerprint), fingerprint, startedAt);
  }

  async #ask(): Promise<void> {
    const { peers } = this.#options;
    const isConnected = ({ address }: NodeInfo) => peers.isConnected(address);
    const connectedFirst = this.#gateways().toSorted(
      (left, right) => Number(isConnected(right)) - Number(isConnected(left)),
    );
    const answers = await Promise.allSettled(
      connectedFirst
        .slice(0, ASKED_GATEWAYS)
        .map(({ address }) =>
          peers.call(address, 'crashes.suspects', null, REPORT_TIMEOUT_MILLISECONDS),
        ),
    );
    for (const answer of answers) {
      if (answer.status === 'fulfilled') for (const report of answer.value) this.#merge(report);
    }
    this.#hasAnswer = answers.some(({ status }) => status === 'fulfilled');
  }

  async #reportTo({ address, run }: NodeInfo, fingerprint: string): Promise<void> {
    const { peers, table } = this.#options;
    const report = this.#reportOf(fingerprint);
    try {
      const answer = await peers.call(
        address,
        'crashes.report',
        report,
        REPORT_TIMEOUT_MILLISECONDS,
      );
      this.#markDelivered(fingerprint, run, report.crashes.length);
      const isNew = this.#merge(answer);
      if (isNew && table.countOf(fingerprint) >= SUSPECT_CRASHES) this.#tellIfSuspect(fingerprint);
    } catch {
      // The repair sends it again; other holders have it meanwhile.
    }
  }

  /** As a holder, tells all gateways of a request that is suspect. */
  #tellIfSuspect(fingerprint: string): void {
    const { table } = this.#options;
    if (table.countOf(fingerprint) < SUSPECT_CRASHES || !this.#isHolderOf(fingerprint)) return;
    for (const gateway of this.#gateways()) this.#tell(gateway, fingerprint);
  }

  #tell({ address, run }: NodeInfo, fingerprint: string): void {
    const report = this.#reportOf(fingerprint);
    const count = report.crashes.length;
    if (this.#deliveredTo(fingerprint, run) >= count) return;
    this.#markDelivered(fingerprint, run, count);
    this.#options.peers.castConfirmed(address, 'crashes.suspect', report).catch(() => {
      this.#delivered.get(fingerprint)?.delete(run);
    });
  }

  #tellAnswered(receivers: readonly NodeInfo[], fingerprint: string, startedAt: number): void {
    const { peers, clock } = this.#options;
    const agoMilliseconds = clock.monotonic() - startedAt;
    for (const { address } of receivers) {
      peers.cast(address, 'crashes.answered', { fingerprint, agoMilliseconds });
    }
  }

  #repairAll(): void {
    const { table } = this.#options;
    if (table.size === 0 && this.#delivered.size === 0) return;
    const fingerprints = new Set(table.fingerprints());
    for (const fingerprint of this.#delivered.keys()) {
      if (!fingerprints.has(fingerprint)) this.#delivered.delete(fingerprint);
    }
    for (const fingerprint of fingerprints) {
      this.#tellIfSuspect(fingerprint);
      this.#reportMissed(fingerprint);
    }
  }

  /** Reports the crashes that this gateway saw, or keeps as a holder, to holders that lack them. */
  #reportMissed(fingerprint: string): void {
    const { table, self } = this.#options;
    const crashes = table.crashesOf(fingerprint);
    const isOwn = crashes.some(({ gateway }) => gateway === self.name);
    if (!isOwn && !this.#isHolderOf(fingerprint)) return;
    for (const holder of this.#holdersOf(fingerprint)) {
      if (this.#deliveredTo(fingerprint, holder.run) >= crashes.length) continue;
      void this.#reportTo(holder, fingerprint);
    }
  }

  #merge({ fingerprint, crashes }: CrashReport): boolean {
    const { table, clock, logger } = this.#options;
    const now = clock.monotonic();
    const observed = crashes.map(({ agoMilliseconds, ...crash }): ObservedCrash => ({
      ...crash,
      lostAt: now - agoMilliseconds,
    }));
    if (!table.add(fingerprint, observed)) return false;
    if (table.countOf(fingerprint) >= SUSPECT_CRASHES) {
      logger.warn({ event: 'request-suspect', fingerprint, crashes });
    }
    return true;
  }

  #reportOf(fingerprint: string): CrashReport {
    const { table, clock } = this.#options;
    const now = clock.monotonic();
    const crashes = table.crashesOf(fingerprint).map(({ lostAt, ...crash }) => ({
      ...crash,
      agoMilliseconds: Math.round(now - lostAt),
    }));
    return { fingerprint, crashes };
  }

  #isHolderOf(fingerprint: string): boolean {
    const { self } = this.#options;
    const holders = selectHolders([...this.#gateways(), self], fingerprint);
    return holders.some(({ name }) => name === self.name);
  }

  /** The holders of a request, without this gateway. */
  #holdersOf(fingerprint: string): readonly NodeInfo[] {
    const { self } = this.#options;
    const holders = selectHolders([...this.#gateways(), self], fingerprint);
    return holders.filter(({ name }) => name !== self.name);
  }

  /** All known gateways but this one. */
  #gateways(): readonly NodeInfo[] {
    const { self, directory } = this.#options;
    return directory
      .ofKind('gateway')
      .map(({ node }) => node)
      .filter(({ name }) => name !== self.name);
  }

  #deliveredTo(fingerprint: string, run: string): number {
    return this.#delivered.get(fingerprint)?.get(run) ?? 0;
  }

  #markDelivered(fingerprint: string, run: string, count: number): void {
    const delivered = this.#delivered.get(fingerprint) ?? new Map<string, number>();
    delivered.set(run, Math.max(count, delivered.get(run) ?? 0));
    this.#delivered.set(fingerprint, delivered);
  }
}

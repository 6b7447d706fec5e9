import type { NodeDirectory, NodeInfo } from '../cluster';
import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import { CRASH_LIMIT, SUSPECT_CRASHES } from '../decisions';
import type { CallHandlers, CastHandlers, ConfirmingRpcClient } from '../rpc';
import { AttemptJournal } from './attempt-journal';
import type { CrashContract, ExposureReport, SettledAttempt } from './contract';
import { selectHolders } from './crash-holders';
import type { Answer, Exposure, ExposureTable } from './exposure-table';
import { SuspectInquiry } from './suspect-inquiry';

/** Time in which a holder answers; requests that lost two targets wait for it. */
const REPORT_TIMEOUT_MILLISECONDS = 150;

/** Interval of the check whether a gateway lacks what it should know. */
const REPAIR_INTERVAL_MILLISECONDS = 300;

export interface CrashExchangeOptions {
  readonly self: NodeInfo;
  readonly directory: Pick<NodeDirectory, 'ofKind'>;
  readonly table: ExposureTable;
  readonly peers: ConfirmingRpcClient<CrashContract>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Shares exposures between the gateways, so that a caller's next try meets them at any gateway. An
 * exposure goes to the holders of its request. Only a request that is suspect is told to all gateways:
 * when a rack ends, thousands of requests have one exposure each. What a gateway missed because it was
 * lost or paused is sent to it again, and one that starts, or was paused, asks for it.
 */
export class CrashExchange implements Component {
  readonly #options: CrashExchangeOptions;
  /** Versions that runs of gateways have confirmed, by fingerprint. */
  readonly #delivered = new Map<string, Map<string, number>>();
  /** Requests that were told to all gateways, which therefore need every change. */
  readonly #told = new Set<string>();
  readonly #repair: PeriodicTask;
  readonly #journal: AttemptJournal;
  readonly #inquiry: SuspectInquiry;

  constructor(options: CrashExchangeOptions) {
    this.#options = options;
    this.#inquiry = new SuspectInquiry({
      ...options,
      gateways: () => this.#gateways(),
      onReport: (report) => {
        this.#merge(report);
      },
    });
    this.#journal = new AttemptJournal({
      ...options,
      gateways: () => [...this.#gateways(), options.self],
      onOverlap: (fingerprint, attempts) => {
        this.#addOverlaps(fingerprint, attempts);
      },
    });
    this.#repair = new PeriodicTask(options.clock, REPAIR_INTERVAL_MILLISECONDS, () => {
      this.#inquiry.repeat();
      this.#repairAll();
    });
  }

  start(): void {
    this.#repair.start();
    this.#journal.start();
  }

  stop(): void {
    this.#repair.stop();
    this.#journal.stop();
  }

  get calls(): CallHandlers<CrashContract> {
    const { table } = this.#options;
    return {
      'crashes.report': (report) => {
        const { fingerprint } = report;
        const isNews = this.#merge(report);
        this.#correctOwnAttempts(fingerprint);
        if (isNews) this.#tellIfSuspect(fingerprint);
        return this.#reportOf(fingerprint);
      },
      'crashes.suspects': ({ gateway }) =>
        table
          .fingerprints()
          .filter(
            (fingerprint) =>
              table.countOf(fingerprint) >= SUSPECT_CRASHES ||
              this.#isHolderOf(fingerprint, gateway),
          )
          .map((fingerprint) => this.#reportOf(fingerprint)),
    };
  }

  get casts(): CastHandlers<CrashContract> {
    const { table, clock } = this.#options;
    return {
      ...this.#journal.casts,
      'crashes.suspect': (report) => {
        this.#merge(report);
      },
      'crashes.answered': ({ fingerprint, request, agoMilliseconds }) => {
        const isSuspect = table.countOf(fingerprint) >= SUSPECT_CRASHES;
        const answer = { request, startedAt: clock.monotonic() - agoMilliseconds };
        const isNews = table.markAnswered(fingerprint, answer);
        if (isNews && isSuspect) this.#tellAnswered(this.#gateways(), fingerprint, answer);
      },
    };
  }

  /** Whether another gateway has told which requests are suspect, and this one was not paused since. */
  get isInformed(): boolean {
    return this.#inquiry.isAnswered;
  }

  /**
   * Resolves once other gateways were asked for the suspect requests that they know of; at once if
   * this one knows no other.
   */
  whenAsked(): Promise<void> {
    return this.#inquiry.whenAsked();
  }

  /**
   * Reports the exposures of a request to its holders. Resolves once their answers are in the table, or
   * after the timeout.
   */
  async report(fingerprint: string): Promise<void> {
    this.#tellIfSuspect(fingerprint);
    await Promise.all(
      this.#holdersOf(fingerprint).map((holder) => this.#reportTo(holder, fingerprint)),
    );
  }

  /** Tells the holders that a target answered a request in whole. */
  reportAnswered(fingerprint: string, answer: Answer): void {
    this.#tellAnswered(this.#holdersOf(fingerprint), fingerprint, answer);
  }

  /** Tells two other gateways of an attempt that is about to be made. */
  begin(fingerprint: string, attempt: Exposure): void {
    this.#journal.begin(fingerprint, attempt);
  }

  /** Records that the outcome of an own attempt is in the table, or that nothing is left of it. */
  settle(attempt: SettledAttempt): void {
    this.#journal.settle(attempt);
  }

  /** Adds to the table what other gateways have told of earlier tries that are still open. */
  addOverlaps(fingerprint: string, request: string): void {
    const overlaps = this.#journal.overlapsOf(fingerprint, request);
    if (overlaps.length > 0) this.#addOverlaps(fingerprint, overlaps);
  }

  /**
   * Asks the gateways that run attempts of a request how these stand. Returns the attempts that still
   * run; those of gateways that do not answer become unresolved.
   */
  async verifyRunning(fingerprint: string): Promise<readonly Exposure[]> {
    const { table, self } = this.#options;
    const owners = new Set(this.#runningAttempts(fingerprint).map(({ gateway }) => gateway));
    const answering = new Set<string>([self.name]);
    this.#correctOwnAttempts(fingerprint);
    await Promise.all(
      this.#gateways()
        .filter(({ name }) => owners.has(name))
        .map(async (node) => {
          if (await this.#reportTo(node, fingerprint)) answering.add(node.name);
        }),
    );
    const running = this.#runningAttempts(fingerprint);
    const lost = running.filter(({ gateway }) => !answering.has(gateway) && owners.has(gateway));
    table.add(
      fingerprint,
      lost.map((attempt) => ({ ...attempt, status: 'unresolved' })),
    );
    return running.filter(({ gateway }) => answering.has(gateway));
  }

  #runningAttempts(fingerprint: string): readonly Exposure[] {
    return this.#options.table
      .exposuresOf(fingerprint)
      .filter(({ status }) => status === 'running');
  }

  /** Other gateways may not know yet how an attempt of this one, or of its former run, stands. */
  #correctOwnAttempts(fingerprint: string): void {
    const { table, self } = this.#options;
    for (const attempt of this.#runningAttempts(fingerprint)) {
      if (attempt.gateway !== self.name) continue;
      const state = this.#journal.stateOf(attempt);
      if (state === 'running') continue;
      const status = state === 'settled' ? 'cleared' : 'unresolved';
      table.add(fingerprint, [{ ...attempt, status }]);
    }
  }

  #addOverlaps(fingerprint: string, attempts: readonly Exposure[]): void {
    if (!this.#options.table.add(fingerprint, attempts)) return;
    this.#correctOwnAttempts(fingerprint);
    void this.report(fingerprint);
  }

  /** Returns whether the gateway answered; its answer is in the table then. */
  async #reportTo({ address, run }: NodeInfo, fingerprint: string): Promise<boolean> {
    const { peers, table, logger } = this.#options;
    const report = this.#reportOf(fingerprint);
    const version = table.versionOf(fingerprint);
    try {
      const answer = await peers.call(
        address,
        'crashes.report',
        report,
        REPORT_TIMEOUT_MILLISECONDS,
      );
      this.#markDelivered(fingerprint, run, version);
      if (this.#merge(answer)) this.#tellIfSuspect(fingerprint);
      return true;
    } catch (error) {
      // The repair sends it again; other holders have it meanwhile.
      logger.debug({ event: 'exposures-not-reported', address, error: messageOf(error) });
      return false;
    }
  }

  /**
   * As a holder, tells all gateways of a request that is suspect, and what is found out later. Two
   * connections that were lost can wait for the repair: their targets are most often found running.
   */
  #tellIfSuspect(fingerprint: string, isRepair = false): void {
    const { confirmed, unconfirmed } = this.#options.table.countsOf(fingerprint);
    const isAtLimit = confirmed >= SUSPECT_CRASHES || confirmed + unconfirmed >= CRASH_LIMIT;
    const isSuspect = isAtLimit || (isRepair && confirmed + unconfirmed >= SUSPECT_CRASHES);
    if (!(isSuspect || this.#told.has(fingerprint)) || !this.#isHolderOf(fingerprint)) return;
    this.#told.add(fingerprint);
    for (const gateway of this.#gateways()) this.#tell(gateway, fingerprint);
  }

  #tell({ address, run }: NodeInfo, fingerprint: string): void {
    const report = this.#reportOf(fingerprint);
    const version = this.#options.table.versionOf(fingerprint);
    if (this.#deliveredTo(fingerprint, run) >= version) return;
    this.#markDelivered(fingerprint, run, version);
    this.#options.peers.castConfirmed(address, 'crashes.suspect', report).catch(() => {
      this.#delivered.get(fingerprint)?.delete(run);
    });
  }

  #tellAnswered(
    receivers: readonly NodeInfo[],
    fingerprint: string,
    { request, startedAt }: Answer,
  ): void {
    const { peers, clock } = this.#options;
    const agoMilliseconds = clock.monotonic() - startedAt;
    for (const { address } of receivers) {
      peers.cast(address, 'crashes.answered', { fingerprint, request, agoMilliseconds });
    }
  }

  #repairAll(): void {
    const { table } = this.#options;
    if (table.size === 0 && this.#delivered.size === 0) return;
    const fingerprints = new Set(table.fingerprints());
    for (const fingerprint of [...this.#delivered.keys(), ...this.#told]) {
      if (fingerprints.has(fingerprint)) continue;
      this.#delivered.delete(fingerprint);
      this.#told.delete(fingerprint);
    }
    for (const fingerprint of fingerprints) {
      this.#tellIfSuspect(fingerprint, true);
      this.#reportMissed(fingerprint);
    }
  }

  /** Reports what this gateway saw, or keeps as a holder, to holders that lack it. */
  #reportMissed(fingerprint: string): void {
    const { table, self } = this.#options;
    const isOwn = table.exposuresOf(fingerprint).some(({ gateway }) => gateway === self.name);
    if (!isOwn && !this.#isHolderOf(fingerprint)) return;
    const version = table.versionOf(fingerprint);
    for (const holder of this.#holdersOf(fingerprint)) {
      if (this.#deliveredTo(fingerprint, holder.run) >= version) continue;
      void this.#reportTo(holder, fingerprint);
    }
  }

  #merge({ fingerprint, exposures }: ExposureReport): boolean {
    const { table, clock, logger } = this.#options;
    const now = clock.monotonic();
    const observed = exposures.map(({ agoMilliseconds, ...exposure }): Exposure => ({
      ...exposure,
      lostAt: now - agoMilliseconds,
    }));
    if (!table.add(fingerprint, observed)) return false;
    if (table.countOf(fingerprint) >= SUSPECT_CRASHES) {
      logger.warn({ event: 'request-suspect', fingerprint, exposures });
    }
    return true;
  }

  #reportOf(fingerprint: string): ExposureReport {
    const { table, clock } = this.#options;
    const now = clock.monotonic();
    const exposures = table.exposuresOf(fingerprint).map(({ lostAt, ...exposure }) => ({
      ...exposure,
      agoMilliseconds: Math.round(now - lostAt),
    }));
    return { fingerprint, exposures };
  }

  #isHolderOf(fingerprint: string, gateway = this.#options.self.name): boolean {
    const { self } = this.#options;
    const holders = selectHolders([...this.#gateways(), self], fingerprint);
    return holders.some(({ name }) => name === gateway);
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

  #markDelivered(fingerprint: string, run: string, version: number): void {
    const delivered = this.#delivered.get(fingerprint) ?? new Map<string, number>();
    delivered.set(run, Math.max(version, delivered.get(run) ?? 0));
    this.#delivered.set(fingerprint, delivered);
  }
}

import { delay } from '../core';
import {
  CRASH_LIMIT,
  type CrashCounts,
  type Refusal,
  SUSPECT_CRASHES,
  decideAfterCrashes,
  refuseAfterCrashes,
  refuseUnresolved,
} from '../decisions';
import type { TargetState } from '../targets';
import type { ExposureStatus } from './contract';
import type { CrashEvidence, Loss } from './crash-detector';
import type { CrashGuardOptions, TrackedRequest, UnresolvedAttempt } from './crash-guard';
import { ExposureConfirmation } from './exposure-confirmation';
import type { Exposure } from './exposure-table';
import { fingerprintOf } from './fingerprint';
import type { ProbedTarget } from './target-prober';

/** Time in which a probe mostly shows whether a target ended, so that holders are told once. */
const FIRST_REPORT_MILLISECONDS = 10;

/** Time for which a request waits that is refused unless a target is found running. */
const CONFIRMATION_MILLISECONDS = 600;

const NO_TARGETS: ReadonlySet<string> = new Set();

/**
 * The targets that a request was sent to, by its earlier tries and its own attempts, as far as nothing
 * shows that they live on. An attempt counts against the limit until it is answered or its target is
 * found running after it, so that no way of ending goes uncounted for lack of evidence.
 */
export class RequestCrashes {
  readonly #options: CrashGuardOptions;
  readonly #request: TrackedRequest;
  readonly #confirmation: ExposureConfirmation;
  /** Own attempts whose targets are being probed. */
  readonly #unconfirmed = new Set<Promise<void>>();
  #fingerprint: string | undefined;

  constructor(options: CrashGuardOptions, request: TrackedRequest) {
    this.#options = options;
    this.#request = request;
    this.#confirmation = new ExposureConfirmation({
      ...options,
      request: request.id,
      fingerprint: () => this.fingerprint,
    });
  }

  /** Number of targets that ended, or may have ended, under the request. */
  get count(): number {
    const { confirmed, unconfirmed } = this.#counts;
    return confirmed + unconfirmed;
  }

  /** Whether the limit allows two attempts at once. */
  get mayHedge(): boolean {
    const { confirmed, unconfirmed } = this.#counts;
    return confirmed === 0 && unconfirmed < SUSPECT_CRASHES;
  }

  /** Ids of targets that ended, or may have ended, under the request. */
  get exposedTargets(): ReadonlySet<string> {
    const { table } = this.#options;
    if (table.size === 0) return NO_TARGETS;
    const open = table.exposuresOf(this.fingerprint).filter(({ status }) => status !== 'cleared');
    return new Set(open.map(({ target }) => target));
  }

  /** Whether one more crash may reach the limit. */
  get isSuspect(): boolean {
    return this.count >= SUSPECT_CRASHES;
  }

  /** Computed only for requests of programs, and others that may have crashes. */
  get fingerprint(): string {
    this.#fingerprint ??= fingerprintOf(this.#request.identity());
    return this.#fingerprint;
  }

  /** Whether {@link findRefusal} has anything to check. */
  get needsCheck(): boolean {
    const { table, exchange } = this.#options;
    if (this.#isSequential) exchange.addOverlaps(this.fingerprint, this.#request.id);
    return !exchange.isInformed || table.size > 0 || this.#unconfirmed.size > 0;
  }

  /** Refusal before the next attempt; undefined if the request may be sent. */
  async findRefusal(): Promise<Refusal | undefined> {
    await this.#options.exchange.whenAsked();
    await this.#confirmAll();
    const { confirmed, unconfirmed } = this.#counts;
    if (confirmed + unconfirmed < CRASH_LIMIT) return undefined;
    this.#recordStop();
    return confirmed >= CRASH_LIMIT
      ? refuseAfterCrashes(confirmed)
      : refuseUnresolved(confirmed + unconfirmed);
  }

  /**
   * Waits until the holders know of an attempt that is about to be made, if others of the request are
   * open. Returns false if the request must not be sent, since other gateways told of further attempts.
   */
  async announce(state: TargetState): Promise<boolean> {
    const { exchange } = this.#options;
    if (!this.#isSequential || this.count === 0) return true;
    this.#set(state.target, 'running');
    // The journal answers other gateways that ask whether the attempt still runs.
    this.recordStart(state);
    await exchange.report(this.fingerprint);
    if (this.count <= CRASH_LIMIT) return true;
    this.recordResolved(state);
    return false;
  }

  /** Tells other gateways of an attempt that is made now. */
  recordStart({ target }: TargetState): void {
    if (!this.#isSequential) return;
    this.#options.exchange.begin(this.fingerprint, this.#exposureOf(target, 'running'));
  }

  /** Records that an attempt was answered, was not made, or did not reach its target. */
  recordResolved({ target }: TargetState): void {
    if (this.#isKnown(target.id)) this.#set(target, 'cleared');
    this.#settle(target);
  }

  /** Records an attempt after which the target may or may not have ended under the request. */
  recordUnresolved(state: TargetState, attempt: UnresolvedAttempt): void {
    this.#logUnresolved(state, attempt);
    this.#set(state.target, 'unresolved');
    this.#settle(state.target);
    const confirmation = this.#confirm(state, attempt).finally(() =>
      this.#unconfirmed.delete(confirmation),
    );
    this.#unconfirmed.add(confirmation);
  }

  /** Records the complete response to an attempt that was sent at `sentAt`. */
  recordAnswered(sentAt: number): void {
    const { table, exchange } = this.#options;
    if (table.size === 0) return;
    const answer = { request: this.#request.id, startedAt: sentAt };
    if (table.markAnswered(this.fingerprint, answer)) {
      exchange.reportAnswered(this.fingerprint, answer);
    }
  }

  /** Records that the target responded to an attempt that was sent at `sentAt`. */
  recordResponse(state: TargetState, sentAt: number): void {
    this.#options.detector.recordResponse(state, sentAt);
  }

  recordAddressReused(state: TargetState): void {
    this.#options.detector.recordAddressReused(state);
  }

  recordRefusedConnection(state: TargetState): void {
    this.#options.detector.recordRefusedConnection(state);
  }

  /**
   * The tries of one caller follow one another, but equal requests of several callers, which have no
   * program or were answered meanwhile, may run at the same time.
   */
  get #isSequential(): boolean {
    const { table } = this.#options;
    if (this.#request.program === undefined) return false;
    return table.size === 0 || !table.isShared(this.fingerprint);
  }

  get #counts(): CrashCounts {
    const { table } = this.#options;
    if (table.size === 0) return { confirmed: 0, unconfirmed: 0 };
    return table.countsOf(this.fingerprint, this.#request.caller, (exposure) =>
      this.#confirmation.isRunning(exposure),
    );
  }

  /** Finds out what became of the open attempts, for a limited time. */
  async #confirmAll(): Promise<void> {
    const { clock } = this.#options;
    const endsAt = clock.monotonic() + CONFIRMATION_MILLISECONDS;
    while (decideAfterCrashes(this.#counts).kind === 'confirm') {
      const remaining = endsAt - clock.monotonic();
      if (remaining <= 0) return;
      const confirmation = this.#confirmation.run(this.#unconfirmed);
      await Promise.race([confirmation, delay(clock, remaining)]);
    }
  }

  #isKnown(target: string): boolean {
    const { table } = this.#options;
    if (table.size === 0) return false;
    const { id } = this.#request;
    return table
      .exposuresOf(this.fingerprint)
      .some((exposure) => exposure.request === id && exposure.target === target);
  }

  #set(target: ProbedTarget, status: ExposureStatus, lostAt?: number): void {
    this.#options.table.add(this.fingerprint, [this.#exposureOf(target, status, lostAt)]);
  }

  #exposureOf(
    { id, service, address }: ProbedTarget,
    status: ExposureStatus,
    lostAt = this.#options.clock.monotonic(),
  ): Exposure {
    const { gateway } = this.#options;
    const { id: request, caller } = this.#request;
    return {
      ...{ request, target: id, service, address, gateway, caller, status, lostAt },
      isSequential: this.#isSequential,
    };
  }

  #settle({ id: target }: ProbedTarget): void {
    if (this.#request.program === undefined) return;
    const { fingerprint } = this;
    this.#options.exchange.settle({ fingerprint, request: this.#request.id, target });
  }

  async #confirm(state: TargetState, { kind }: UnresolvedAttempt): Promise<void> {
    const { clock, exchange } = this.#options;
    let report: Promise<void> | undefined;
    const onCrash = (evidence: CrashEvidence, lostAt: number) => {
      this.#recordCrash(state, evidence, lostAt);
      report = exchange.report(this.fingerprint);
    };
    const onAlive = () => {
      this.#recordAlive(state);
    };
    const detection = this.#detect({ state, onCrash, onAlive }, kind);
    await Promise.race([detection, delay(clock, FIRST_REPORT_MILLISECONDS)]);
    await (report ?? exchange.report(this.fingerprint));
    await detection;
    await report;
  }

  async #detect(loss: Loss, kind: UnresolvedAttempt['kind']): Promise<void> {
    const { detector } = this.#options;
    switch (kind) {
      case 'connection-lost':
        return detector.recordLostConnection(loss);
      case 'uncertain':
        return detector.recordUncertain(loss);
      case 'silence':
        detector.recordSilence(loss);
    }
  }

  #recordCrash({ target }: TargetState, evidence: CrashEvidence, lostAt: number): void {
    const { metrics, logger } = this.#options;
    const { id: request, program } = this.#request;
    metrics.count(`crashes_total{evidence="${evidence}"}`);
    this.#set(target, 'ended', lostAt);
    logger.warn({
      event: 'target-ended-under-request',
      request,
      program,
      fingerprint: this.fingerprint,
      target: target.id,
      address: target.address,
      evidence,
      crashes: this.count,
    });
  }

  #recordAlive({ target }: TargetState): void {
    const { logger, metrics, exchange } = this.#options;
    metrics.count('targets_found_running_total');
    this.#set(target, 'cleared');
    logger.debug({
      event: 'target-found-running',
      request: this.#request.id,
      fingerprint: this.fingerprint,
      target: target.id,
    });
    void exchange.report(this.fingerprint);
  }

  #logUnresolved(
    { target, isRetired }: TargetState,
    { outcome, began, status, kind }: UnresolvedAttempt,
  ): void {
    const { logger, metrics } = this.#options;
    const { id: request, program } = this.#request;
    metrics.count(`unresolved_attempts_total{kind="${kind}"}`);
    logger.info({
      event: 'attempt-unresolved',
      request,
      program,
      fingerprint: this.fingerprint,
      target: target.id,
      draining: target.draining || isRetired,
      outcome,
      began,
      status,
      kind,
    });
  }

  #recordStop(): void {
    const { table, clock } = this.#options;
    const now = clock.monotonic();
    const crashes = table.exposuresOf(this.fingerprint).map(({ lostAt, ...exposure }) => ({
      ...exposure,
      agoMilliseconds: Math.round(now - lostAt),
    }));
    this.#request.recordDecision({
      step: 'crashes',
      outcome: 'stopped',
      fingerprint: this.fingerprint,
      crashes,
    });
  }
}

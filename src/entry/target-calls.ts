import { type Clock, RecentPeak } from '../core';
import type { Load } from '../protocol';

/** Calls of others at a target, according to one report. */
interface OtherCallsReport {
  readonly calls: number;
  /** Monotonic time at which this entry received the report, in milliseconds. */
  readonly receivedAt: number;
  /** Wall time of the report in milliseconds, by the clock of the process that first received it. */
  readonly reportedAt: number;
}

/**
 * Maximum age of the load that the leader reports when it arrives, and interval at which it is
 * renewed: that of a sidecar's heartbeats.
 */
const REPORT_AGE_MILLISECONDS = 1000;

/**
 * Time after which a report that still counts an ended call has been renewed, or its target is lost:
 * the session timeout. A suspended leader renews no reports.
 */
const RENEWAL_MILLISECONDS = 3000;

const NO_CALLS: OtherCallsReport = { calls: 0, receivedAt: -Infinity, reportedAt: -Infinity };

/**
 * Calls at one target, as known to one entry. A reported load counts all calls at the time of the
 * report; the entry's own calls are taken out of it, since it knows which of them still run.
 */
export class TargetCalls {
  readonly #clock: Clock;
  readonly #ownPeak: RecentPeak;
  #own = 0;
  #reported = NO_CALLS;
  #observed = NO_CALLS;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#ownPeak = new RecentPeak({ clock, windowMilliseconds: REPORT_AGE_MILLISECONDS });
  }

  /** Calls of this entry in flight. */
  get own(): number {
    return this.#own;
  }

  recordStart(): void {
    this.#setOwn(this.#own + 1);
  }

  recordEnd(): void {
    this.#setOwn(this.#own - 1);
  }

  /**
   * Records the load that the leader received at `reportedAt`, wall time in milliseconds. It may
   * count own calls that have ended since.
   */
  recordReport(load: Load, reportedAt = this.#clock.now()): void {
    this.#reported = this.#withoutOwn(load, this.#ownPeak.value, reportedAt);
  }

  /** Records the load that came with the response head of an own call in flight. */
  recordObservation(load: Load): void {
    this.#observed = this.#withoutOwn(load, this.#own, this.#clock.now());
  }

  /**
   * Calls of others. `lastTurnEndedAt` is the wall time in milliseconds at which the program's last
   * turn ended, if it ran at this target through any entry: a report from before still counts it.
   */
  others(lastTurnEndedAt = -Infinity): number {
    const observationAge = this.#clock.monotonic() - this.#observed.receivedAt;
    const isObservationFresh = observationAge < REPORT_AGE_MILLISECONDS;
    const { calls, reportedAt } = isObservationFresh ? this.#observed : this.#reported;
    const sinceLastTurn = this.#clock.now() - lastTurnEndedAt;
    const countsLastTurn = sinceLastTurn < RENEWAL_MILLISECONDS && reportedAt <= lastTurnEndedAt;
    return countsLastTurn ? Math.max(0, calls - 1) : calls;
  }

  #setOwn(calls: number): void {
    this.#own = calls;
    this.#ownPeak.record(calls);
  }

  #withoutOwn({ running, waiting }: Load, own: number, reportedAt: number): OtherCallsReport {
    const calls = Math.max(0, running + waiting - own);
    return { calls, receivedAt: this.#clock.monotonic(), reportedAt };
  }
}

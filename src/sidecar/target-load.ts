import { type Clock, RecentPeak } from '../core';
import type { Load } from '../protocol';

export interface TargetLoadOptions {
  readonly clock: Clock;
  /** Interval at which the target's report is read; a report is assumed to lag by less. */
  readonly reportMilliseconds: number;
}

/**
 * Load of the target: the calls that this sidecar forwards now, and those of other callers as of
 * the target's last report. A report may still count forwarded calls that have ended.
 */
export class TargetLoad {
  readonly #forwardedPeak: RecentPeak;
  #forwarded = 0;
  #others = 0;
  #waiting = 0;

  constructor({ clock, reportMilliseconds }: TargetLoadOptions) {
    this.#forwardedPeak = new RecentPeak({ clock, windowMilliseconds: reportMilliseconds });
  }

  get current(): Load {
    const calls = this.#forwarded + this.#others;
    const waiting = Math.min(this.#waiting, calls);
    return { running: calls - waiting, waiting };
  }

  /** Records the number of forwarded calls in flight. */
  recordForwarded(calls: number): void {
    this.#forwarded = calls;
    this.#forwardedPeak.record(calls);
  }

  /** Records the target's report; undefined if it makes none. */
  recordReport(report: Load | undefined): void {
    const { running, waiting } = report ?? { running: 0, waiting: 0 };
    this.#others = Math.max(0, running + waiting - this.#forwardedPeak.value);
    this.#waiting = waiting;
  }
}

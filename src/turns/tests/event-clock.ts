import type { CancelTimer, Clock } from '../../core';
import { flushEventLoop } from './simulated-cluster';

interface Timer {
  readonly at: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** Clock of a discrete-event simulation: the time advances from one timer to the next. */
export class EventClock implements Clock {
  #now = 0;
  /** Latest first; of several timers at the same time, the one that was set last comes first. */
  readonly #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  monotonic(): number {
    return this.#now;
  }

  after(milliseconds: number, action: () => void): CancelTimer {
    const timer = { at: this.#now + Math.max(0, milliseconds), action, cancelled: false };
    let low = 0;
    for (let high = this.#timers.length; low < high;) {
      const middle = (low + high) >>> 1;
      if ((this.#timers[middle]?.at ?? 0) > timer.at) low = middle + 1;
      else high = middle;
    }
    this.#timers.splice(low, 0, timer);
    return () => {
      timer.cancelled = true;
    };
  }

  /** Runs all timers that are due until `end`, and after each one the promises that it settled. */
  async runUntil(end: number): Promise<void> {
    for (let next = this.#timers.at(-1); next !== undefined && next.at <= end;) {
      this.#timers.pop();
      if (!next.cancelled) {
        this.#now = next.at;
        next.action();
        await flushEventLoop();
      }
      next = this.#timers.at(-1);
    }
    this.#now = end;
  }
}

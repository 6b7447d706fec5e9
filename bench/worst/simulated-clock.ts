import type { CancelTimer, Clock } from '../../src/core';

/** Clock in whole simulated milliseconds; actions due at the same time run in the order of their calls. */
export class SimulatedClock implements Clock {
  #now = 0;
  readonly #scheduled = new Map<number, (() => void)[]>();

  now(): number {
    return this.#now;
  }

  monotonic(): number {
    return this.#now;
  }

  after(milliseconds: number, action: () => void): CancelTimer {
    const at = this.#now + Math.max(1, Math.round(milliseconds));
    let cancelled = false;
    const run = () => {
      if (!cancelled) action();
    };
    this.#scheduled.set(at, [...(this.#scheduled.get(at) ?? []), run]);
    return () => {
      cancelled = true;
    };
  }

  /** Advances to `end`, in milliseconds, and runs the actions due until then. */
  runUntil(end: number): void {
    for (; this.#now < end;) {
      this.#now += 1;
      const actions = this.#scheduled.get(this.#now) ?? [];
      this.#scheduled.delete(this.#now);
      for (const action of actions) action();
    }
  }
}

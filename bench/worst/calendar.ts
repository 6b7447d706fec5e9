import type { CancelTimer, Clock } from '../../src/core';

/** Simulated time in whole milliseconds; what comes due at one time runs in the order it was asked. */
export class Calendar implements Clock {
  #now = 0;
  readonly #due = new Map<number, (() => void)[]>();

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
    this.#due.set(at, [...(this.#due.get(at) ?? []), run]);
    return () => {
      cancelled = true;
    };
  }

  /** Runs everything that is due until `end`, in milliseconds. */
  runUntil(end: number): void {
    for (; this.#now < end;) {
      this.#now += 1;
      const actions = this.#due.get(this.#now) ?? [];
      this.#due.delete(this.#now);
      for (const action of actions) action();
    }
  }
}

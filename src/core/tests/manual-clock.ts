import type { CancelTimer, Clock } from '../clock';

interface Timer {
  readonly at: number;
  readonly action: () => void;
}

/** A clock whose time changes only by {@link advance} and {@link jump}. */
export class ManualClock implements Clock {
  #now = 0;
  #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  monotonic(): number {
    return this.#now;
  }

  after(milliseconds: number, action: () => void): CancelTimer {
    const timer = { at: this.#now + milliseconds, action };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Advances time in one step, as after a suspension of the process, then runs all due timers. */
  jump(milliseconds: number): void {
    this.#now += milliseconds;
    this.advance(0);
  }

  /** Advances time, running each due timer at its time, earliest first. */
  advance(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (;;) {
      const due = this.#timers.filter((timer) => timer.at <= end);
      const [next] = due.sort((left, right) => left.at - right.at);
      if (next === undefined) break;
      this.#timers = this.#timers.filter((timer) => timer !== next);
      this.#now = Math.max(this.#now, next.at);
      next.action();
    }
    this.#now = end;
  }
}

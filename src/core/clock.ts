/** Stops a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** Source of time and timers; tests inject a manual one. */
export interface Clock {
  /** Wall time in milliseconds since the Unix epoch. */
  now(): number;
  /** Monotonic time in milliseconds, for leases and latency. */
  monotonic(): number;
  /** Runs `action` once after `milliseconds`. */
  after(milliseconds: number, action: () => void): CancelTimer;
}

/** Delay of a timer above which the process has been paused; longer than delays due to load. */
export const PAUSE_THRESHOLD_MILLISECONDS = 50;

export class SystemClock implements Clock {
  now(): number {
    return Date.now();
  }

  monotonic(): number {
    return performance.now();
  }

  /**
   * Node runs a timer that came due during a pause of the process before it reads sockets. A timer
   * that fires so late waits until they have been read, so that a timeout does not win against an
   * answer that has arrived.
   */
  after(milliseconds: number, action: () => void): CancelTimer {
    const dueAt = this.monotonic() + milliseconds;
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      const isAfterPause = this.monotonic() - dueAt > PAUSE_THRESHOLD_MILLISECONDS;
      if (isAfterPause) immediate = setImmediate(action);
      else action();
    }, milliseconds);
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  }
}

/** Runs `action` until cancelled, each time `milliseconds` after the previous run has finished. */
export function repeat(
  clock: Clock,
  milliseconds: number,
  action: () => Promise<void> | void,
): CancelTimer {
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  const schedule = () => {
    cancel = clock.after(milliseconds, () => {
      let result: Promise<void> | void = undefined;
      try {
        result = action();
      } finally {
        // Synchronous actions run several times per second in an idle process and need no promises.
        if (result === undefined) scheduleNext();
        else void result.finally(scheduleNext);
      }
    });
  };
  const scheduleNext = () => {
    if (!stopped) schedule();
  };
  schedule();
  return () => {
    stopped = true;
    cancel();
  };
}

export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(milliseconds, resolve);
  });
}

export interface Timeout {
  readonly controller: AbortController;
  readonly cancel: CancelTimer;
}

/** Starts an abort controller that aborts after `milliseconds`, at once for 0 or less, unless cancelled. */
export function startTimeout(clock: Clock, milliseconds: number): Timeout {
  const controller = new AbortController();
  const abort = () => {
    controller.abort(new Error('the operation timed out'));
  };
  if (milliseconds > 0) return { controller, cancel: clock.after(milliseconds, abort) };
  abort();
  return { controller, cancel: () => undefined };
}

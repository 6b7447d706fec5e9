/** Stops a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** Source of time, injected so that tests decide when time passes. */
export interface Clock {
  /** Wall time in milliseconds since the Unix epoch. */
  now(): number;
  /** Monotonic time in milliseconds, for leases and latency. */
  monotonic(): number;
  /** Runs `action` once after `milliseconds`. */
  after(milliseconds: number, action: () => void): CancelTimer;
}

/** The machine's clock. */
export class SystemClock implements Clock {
  now(): number {
    return Date.now();
  }

  monotonic(): number {
    return performance.now();
  }

  after(milliseconds: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  }
}

/** Runs `action` every `milliseconds` until cancelled; a slow action delays the next run. */
export function repeat(
  clock: Clock,
  milliseconds: number,
  action: () => Promise<void> | void,
): CancelTimer {
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  const schedule = () => {
    cancel = clock.after(milliseconds, () => {
      void Promise.resolve(action()).finally(() => {
        if (!stopped) schedule();
      });
    });
  };
  schedule();
  return () => {
    stopped = true;
    cancel();
  };
}

/** Resolves after `milliseconds`. */
export function delay(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(milliseconds, resolve);
  });
}

/** A signal that aborts after a time, and what cancels it. */
export interface Timeout {
  readonly controller: AbortController;
  readonly cancel: CancelTimer;
}

/** Starts a signal that aborts after `milliseconds`. */
export function startTimeout(clock: Clock, milliseconds: number): Timeout {
  const controller = new AbortController();
  const cancel = clock.after(Math.max(0, milliseconds), () => {
    controller.abort(new Error('the time is over'));
  });
  return { controller, cancel };
}

import type { Clock } from '../core';

/** What a hand-over before a planned stop needs; times in milliseconds. */
export interface HandOverOptions {
  readonly clock: Clock;
  /** Longest wait for another member to take over. */
  readonly deadlineMilliseconds: number;
  /** Pause after which leadership is offered again. */
  readonly pauseMilliseconds: number;
  /** Whether this member still leads and has somebody to hand over to. */
  readonly leads: () => boolean;
  readonly offer: () => void;
  /** Calls a listener once at the next change of role. */
  readonly onceChanged: (listener: () => void) => void;
}

/** Offers leadership to another member until it has taken it, or the deadline has passed. */
export async function handOver(options: HandOverOptions): Promise<void> {
  const { clock, deadlineMilliseconds, leads, offer } = options;
  const deadline = clock.monotonic() + deadlineMilliseconds;
  while (leads() && clock.monotonic() < deadline) {
    offer();
    await changeOrPause(options);
  }
}

function changeOrPause({ clock, pauseMilliseconds, onceChanged }: HandOverOptions): Promise<void> {
  return new Promise((resolve) => {
    const cancel = clock.after(pauseMilliseconds, resolve);
    onceChanged(() => {
      cancel();
      resolve();
    });
  });
}

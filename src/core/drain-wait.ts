import { type Clock, PAUSE_THRESHOLD_MILLISECONDS } from './clock';

/** Covers reading the answers that have arrived and recording their turns. */
const MAX_EXTENSION_MILLISECONDS = 200;

export interface DrainWaitOptions {
  readonly clock: Clock;
  readonly milliseconds: number;
  /** Resolves once no request is in flight. */
  readonly whenIdle: () => Promise<void>;
}

/**
 * Resolves once no request is in flight, or after `milliseconds`. Node runs a timer that came due
 * during a pause of the process before it reads sockets, so a part of the pause is waited again.
 */
export async function waitForIdle({
  clock,
  milliseconds,
  whenIdle,
}: DrainWaitOptions): Promise<void> {
  const startedAt = clock.monotonic();
  const idle = whenIdle();
  if (await settlesWithin(idle, clock, milliseconds)) return;
  const pauseMilliseconds = clock.monotonic() - startedAt - milliseconds;
  if (pauseMilliseconds < PAUSE_THRESHOLD_MILLISECONDS) return;
  await settlesWithin(idle, clock, Math.min(pauseMilliseconds, MAX_EXTENSION_MILLISECONDS));
}

function settlesWithin(
  promise: Promise<void>,
  clock: Clock,
  milliseconds: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const cancel = clock.after(milliseconds, () => {
      resolve(false);
    });
    void promise.then(() => {
      cancel();
      resolve(true);
    });
  });
}

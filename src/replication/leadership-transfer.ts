import type { Clock } from '../core';

export interface LeadershipTransferOptions {
  readonly clock: Clock;
  /** Maximum time to wait until another member leads. */
  readonly timeoutMilliseconds: number;
  /** Delay before another attempt. */
  readonly retryMilliseconds: number;
  /** Whether this member still leads and another voter exists. */
  readonly canTransfer: () => boolean;
  readonly attempt: () => void;
  /** Calls a listener once at the next change of role, leader or term. */
  readonly onNextChange: (listener: () => void) => void;
}

/** Retries a leadership transfer until another member leads or the timeout expires. */
export async function transferLeadershipWithRetry(
  options: LeadershipTransferOptions,
): Promise<void> {
  const { clock, timeoutMilliseconds, canTransfer, attempt } = options;
  const deadline = clock.monotonic() + timeoutMilliseconds;
  while (canTransfer() && clock.monotonic() < deadline) {
    attempt();
    await waitForChangeOrRetry(options);
  }
}

function waitForChangeOrRetry({
  clock,
  retryMilliseconds,
  onNextChange,
}: LeadershipTransferOptions): Promise<void> {
  return new Promise((resolve) => {
    const cancel = clock.after(retryMilliseconds, resolve);
    onNextChange(() => {
      cancel();
      resolve();
    });
  });
}

import type { Clock } from '../core';

export interface SentMessagesOptions {
  /** Interval after which an unchanged message is sent again. */
  readonly resendMilliseconds: number;
  readonly clock: Clock;
}

/** The last message to each receiver, so that unchanged messages are sent rarely. */
export class SentMessages {
  readonly #options: SentMessagesOptions;
  readonly #last = new Map<string, { readonly text: string; readonly sentAt: number }>();

  constructor(options: SentMessagesOptions) {
    this.#options = options;
  }

  /** Whether the text differs from the last one or is due again; then it is recorded as sent. */
  recordIfDue(receiver: string, text: string): boolean {
    const { resendMilliseconds, clock } = this.#options;
    const now = clock.monotonic();
    const last = this.#last.get(receiver);
    const isDue = last === undefined || now - last.sentAt >= resendMilliseconds;
    if (!isDue && last.text === text) return false;
    this.#last.set(receiver, { text, sentAt: now });
    return true;
  }

  delete(receiver: string): boolean {
    return this.#last.delete(receiver);
  }

  clear(): void {
    this.#last.clear();
  }
}

import type { Envelope, HardState, LogEntry, RaftMessage } from './messages';

/** What the driver of a member has to do next, in this order. */
export interface RaftOutput {
  /** To be sent at once. */
  readonly messages: readonly Envelope[];
  /** To be synced; `truncateFrom` goes before the entries. */
  readonly hardState: HardState | undefined;
  readonly truncateFrom: number | undefined;
  readonly entries: readonly LogEntry[];
  /** To be sent only once everything above is synced. */
  readonly messagesAfterSync: readonly Envelope[];
}

/** Collects what a member asks of its driver between two calls. */
export class Outbox {
  #messages: Envelope[] = [];
  #messagesAfterSync: Envelope[] = [];
  #entries: LogEntry[] = [];
  #truncateFrom: number | undefined;
  #hardStateChanged = false;

  send(to: string, message: RaftMessage): void {
    this.#messages.push({ to, message });
  }

  sendAfterSync(to: string, message: RaftMessage): void {
    this.#messagesAfterSync.push({ to, message });
  }

  addEntries(entries: readonly LogEntry[]): void {
    this.#entries.push(...entries);
  }

  truncateFrom(index: number): void {
    this.#entries = this.#entries.filter((entry) => entry.index < index);
    this.#truncateFrom = Math.min(this.#truncateFrom ?? Infinity, index);
  }

  hardStateChanged(): void {
    this.#hardStateChanged = true;
  }

  /** Hands out everything collected; `hardState` is the present one. */
  take(hardState: HardState): RaftOutput {
    const output: RaftOutput = {
      messages: this.#messages,
      hardState: this.#hardStateChanged ? hardState : undefined,
      truncateFrom: this.#truncateFrom,
      entries: this.#entries,
      messagesAfterSync: this.#messagesAfterSync,
    };
    this.#messages = [];
    this.#messagesAfterSync = [];
    this.#entries = [];
    this.#truncateFrom = undefined;
    this.#hardStateChanged = false;
    return output;
  }
}

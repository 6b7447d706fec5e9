import type { RecordStore } from '../storage';
import type { Envelope } from './messages';
import type { RaftOutput } from './outbox';
import { encodeOutput } from './records';

export interface LogEnd {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface OutputWriterOptions {
  readonly store: RecordStore;
  /** Called in order with the end of the log once it is synced. */
  readonly onSynced: (end: LogEnd) => void;
  readonly onFailure: (error: unknown) => void;
}

/** Writes the records of a member in order, and sends dependent messages once they are synced. */
export class OutputWriter {
  readonly #options: OutputWriterOptions;
  #pending: Promise<void> = Promise.resolve();
  #stopped = false;

  constructor(options: OutputWriterOptions) {
    this.#options = options;
  }

  /** Resolves once everything requested so far is synced. */
  get idle(): Promise<void> {
    return this.#pending;
  }

  /** From now on, no message that waits for a sync is sent and `onSynced` is not called. */
  stop(): void {
    this.#stopped = true;
  }

  /** Runs `action` after earlier writes; sends and callbacks of later writes wait for it. */
  enqueue(action: () => Promise<void>): void {
    this.#pending = this.#pending.then(action);
  }

  /** Resolves once the records of `output` and of all earlier outputs are synced. */
  write(output: RaftOutput, end: LogEnd, send: (envelope: Envelope) => void): Promise<void> {
    const records = encodeOutput(output);
    if (records.length === 0 && output.messagesAfterSync.length === 0) return Promise.resolve();
    const { store, onSynced, onFailure } = this.#options;
    const written = records.length === 0 ? this.#pending : store.append(records);
    this.#pending = Promise.all([this.#pending, written])
      .then(() => {
        if (this.#stopped) return;
        for (const envelope of output.messagesAfterSync) send(envelope);
        onSynced(end);
      })
      .catch(onFailure);
    return this.#pending;
  }
}

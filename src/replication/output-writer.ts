import type { RecordStore } from '../storage';
import type { Envelope } from './messages';
import type { RaftOutput } from './outbox';
import { encodeOutput } from './records';

/** Where a member's log ends. */
export interface LogEnd {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface OutputWriterOptions {
  readonly store: RecordStore;
  /** Told how far the log is synced, in order. */
  readonly onSynced: (end: LogEnd) => void;
  readonly onFailure: (error: unknown) => void;
}

/** Writes what a member asks for, in order, and sends messages once what they rest on is synced. */
export class OutputWriter {
  readonly #options: OutputWriterOptions;
  #last: Promise<void> = Promise.resolve();
  #stopped = false;

  constructor(options: OutputWriterOptions) {
    this.#options = options;
  }

  /** Resolves once everything that was asked for is synced. */
  get idle(): Promise<void> {
    return this.#last;
  }

  /** From now on nothing that waits for a sync is sent or told. */
  stop(): void {
    this.#stopped = true;
  }

  /** Runs `action` in its turn; everything that is written later waits for it. */
  insert(action: () => Promise<void>): void {
    this.#last = this.#last.then(action);
  }

  /** Resolves once the records of `output`, and all before them, are synced. */
  write(output: RaftOutput, end: LogEnd, send: (envelope: Envelope) => void): Promise<void> {
    const records = encodeOutput(output);
    if (records.length === 0 && output.messagesAfterSync.length === 0) return Promise.resolve();
    const { store, onSynced, onFailure } = this.#options;
    const written = records.length === 0 ? this.#last : store.append(records);
    this.#last = Promise.all([this.#last, written]).then(() => {
      if (this.#stopped) return;
      for (const envelope of output.messagesAfterSync) send(envelope);
      onSynced(end);
    }, onFailure);
    return this.#last;
  }
}

/** Responses up to this length never wait, so that those of ordinary size pass large ones. */
export const SMALL_BYTES = 16 * 1024;

/** Most bytes that one read of a connection brings. */
export const READ_BYTES = 64 * 1024;

/** What the holder of an account does when its memory changes. */
export interface ResponseAccountOptions {
  /** Called when a response that waits may be read on. */
  readonly onGranted: () => void;
  /** Called at most once, when the response is given up for others; the account is closed by then. */
  readonly onRevoked: () => void;
}

/** What an account changes in the memory that it belongs to. */
export interface ResponseMemoryAccess {
  readonly reserve: (account: ResponseAccount) => boolean;
  readonly use: (bytes: number) => void;
  readonly release: (bytes: number) => void;
  readonly close: (account: ResponseAccount) => void;
}

/** Memory of one response, part of a `ResponseMemory`. */
export class ResponseAccount {
  readonly #memory: ResponseMemoryAccess;
  #options: ResponseAccountOptions;
  #bytes = 0;
  /** What may be read without asking again. */
  #reservedBytes = 0;
  /** Checks since the last progress. */
  #stillChecks = 0;
  #isWaiting = false;
  #isComplete = false;
  #isClosed = false;

  constructor(options: ResponseAccountOptions, memory: ResponseMemoryAccess) {
    this.#options = options;
    this.#memory = memory;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Whether the response is not read until memory is granted. */
  get isWaiting(): boolean {
    return this.#isWaiting;
  }

  /** Whether the response has arrived in whole. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Adds bytes that have arrived; returns false if no more may be read until `onGranted`. */
  take(bytes: number): boolean {
    if (this.#isClosed) return true;
    const reserved = Math.min(bytes, this.#reservedBytes);
    this.#reservedBytes -= reserved;
    this.#bytes += bytes;
    this.#memory.use(bytes - reserved);
    this.#stillChecks = 0;
    if (this.#isWaiting) return false;
    if (this.#bytes <= SMALL_BYTES || this.#reservedBytes > 0) return true;
    if (this.#memory.reserve(this)) {
      this.#reservedBytes += READ_BYTES;
      return true;
    }
    this.#isWaiting = true;
    return false;
  }

  /** Called when the response has arrived in whole; `onRevoked` applies from then on. */
  complete(onRevoked: () => void): void {
    this.#options = { ...this.#options, onRevoked };
    this.#isComplete = true;
    this.#isWaiting = false;
    this.#stillChecks = 0;
    this.#release(this.#reservedBytes);
    this.#reservedBytes = 0;
  }

  /** Gives back `bytes` that the caller has read. */
  give(bytes: number): void {
    const given = Math.min(bytes, this.#bytes);
    this.#bytes -= given;
    this.#stillChecks = 0;
    this.#release(given);
  }

  /** Gives back everything; further calls do nothing. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#isWaiting = false;
    const held = this.#bytes + this.#reservedBytes;
    this.#bytes = 0;
    this.#reservedBytes = 0;
    this.#memory.use(-held);
    this.#memory.close(this);
  }

  /** Returns the number of checks in a row without progress; 0 while the response waits. */
  countCheck(): number {
    this.#stillChecks = this.#isWaiting ? 0 : this.#stillChecks + 1;
    return this.#stillChecks;
  }

  grant(bytes: number): void {
    this.#isWaiting = false;
    this.#reservedBytes += bytes;
    this.#stillChecks = 0;
    this.#options.onGranted();
  }

  revoke(): void {
    if (this.#isClosed) return;
    this.close();
    this.#options.onRevoked();
  }

  #release(bytes: number): void {
    if (!this.#isClosed && bytes > 0) this.#memory.release(bytes);
  }
}

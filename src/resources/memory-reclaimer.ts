/** Runs the garbage collector; `gc` of Node.js with the flag `--expose-gc`. */
export type CollectGarbage = () => void;

/**
 * Runs the garbage collector once much memory outside of the JavaScript heap was released. The
 * collector itself does so after tens of megabytes only, which small processes do not have.
 */
export class MemoryReclaimer {
  readonly #thresholdBytes: number;
  readonly #collect: CollectGarbage | undefined;
  #releasedBytes = 0;

  /** Without `collect`, the runtime decides when to collect. */
  constructor(thresholdBytes: number, collect: CollectGarbage | undefined = globalThis.gc) {
    this.#thresholdBytes = thresholdBytes;
    this.#collect = collect;
  }

  /** Called with the length of a buffer that is not referred to any more. */
  recordReleased(bytes: number): void {
    this.#releasedBytes += bytes;
    if (this.#collect === undefined || this.#releasedBytes < this.#thresholdBytes) return;
    this.#releasedBytes = 0;
    // At once, since one turn of the event loop may read 2 MiB from each connection.
    this.#collect();
  }
}

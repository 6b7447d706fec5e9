const SMALLEST_BLOCK_BYTES = 1024;

const LARGEST_BLOCK_BYTES = 64 * 1024;

/** Chunks of this size or more are kept as they are; their own overhead is small. */
const KEPT_CHUNK_BYTES = 4096;

/**
 * Collects the chunks of a body. Small chunks are copied into blocks that grow with the body, so that
 * its memory depends on its length and not on the number of its chunks.
 */
export class BlockBuffer {
  readonly #blocks: Buffer[] = [];
  /** The last block, if it has room; its first `#filled` bytes are used. */
  #open: Buffer | undefined;
  #filled = 0;
  #length = 0;
  #allocatedBytes = 0;

  /** Length of the body so far; bytes. */
  get length(): number {
    return this.#length;
  }

  /** Memory of the blocks; bytes. */
  get allocatedBytes(): number {
    return this.#allocatedBytes;
  }

  append(chunk: Buffer): void {
    this.#length += chunk.length;
    if (chunk.length >= KEPT_CHUNK_BYTES || this.#allocatedBytes === 0) {
      this.#closeBlock();
      this.#blocks.push(chunk);
      this.#allocatedBytes += chunk.length;
      return;
    }
    for (let rest = chunk; rest.length > 0;) {
      const block = this.#openBlock();
      const copied = rest.copy(block, this.#filled);
      this.#filled += copied;
      rest = rest.subarray(copied);
    }
  }

  /** The whole body; without a copy if it came in one chunk. */
  toBuffer(): Buffer {
    this.#closeBlock();
    const [first] = this.#blocks;
    return this.#blocks.length === 1 && first !== undefined ? first : Buffer.concat(this.#blocks);
  }

  /** Whether {@link toBuffer} copies the body. */
  get isSplit(): boolean {
    return this.#blocks.length + (this.#open === undefined ? 0 : 1) > 1;
  }

  /** Removes the first block; undefined if there is none. */
  takeBlock(): Buffer | undefined {
    this.#closeBlock();
    const block = this.#blocks.shift();
    this.#length -= block?.length ?? 0;
    return block;
  }

  clear(): void {
    this.#blocks.length = 0;
    this.#open = undefined;
    this.#filled = 0;
    this.#length = 0;
    this.#allocatedBytes = 0;
  }

  #openBlock(): Buffer {
    if (this.#open !== undefined && this.#filled < this.#open.length) return this.#open;
    this.#closeBlock();
    const size = Math.min(Math.max(this.#length, SMALLEST_BLOCK_BYTES), LARGEST_BLOCK_BYTES);
    this.#open = Buffer.allocUnsafeSlow(size);
    this.#allocatedBytes += size;
    return this.#open;
  }

  #closeBlock(): void {
    if (this.#open !== undefined) this.#blocks.push(this.#open.subarray(0, this.#filled));
    this.#open = undefined;
    this.#filled = 0;
  }
}

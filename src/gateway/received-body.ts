import {
  BlockBuffer,
  type MemoryReclaimer,
  type ResponseAccount,
  type ResponseMemory,
} from '../resources';

export interface ReceivedBodyOptions {
  readonly memory: ResponseMemory;
  readonly reclaimer: MemoryReclaimer;
  /** Called when a body that waits for memory may be read on. */
  readonly onGranted: () => void;
  /** Called when the body is given up for others, before it is complete; it is closed by then. */
  readonly onRevoked: () => void;
}

/** The body of a target's response, whose memory is counted until it is closed. */
export class ReceivedBody {
  readonly #blocks = new BlockBuffer();
  readonly #account: ResponseAccount;
  readonly #reclaimer: MemoryReclaimer;
  #hasWaited = false;

  constructor({ memory, reclaimer, onGranted, onRevoked }: ReceivedBodyOptions) {
    this.#reclaimer = reclaimer;
    this.#account = memory.open({
      onGranted,
      onRevoked: () => {
        this.#drop();
        onRevoked();
      },
    });
  }

  /** Bytes. */
  get length(): number {
    return this.#blocks.length;
  }

  /** Whether the body was given up or its memory given back. */
  get isClosed(): boolean {
    return this.#account.isClosed;
  }

  /** Whether the body had to wait for memory. */
  get hasWaited(): boolean {
    return this.#hasWaited;
  }

  /** Adds bytes that have arrived; returns false if no more may be read until `onGranted`. */
  append(chunk: Buffer): boolean {
    if (this.#account.isClosed) return true;
    const before = this.#blocks.allocatedBytes;
    this.#blocks.append(chunk);
    const isGranted = this.#account.take(this.#blocks.allocatedBytes - before);
    this.#hasWaited ||= !isGranted;
    return isGranted;
  }

  /**
   * Called when the body has arrived in whole, and when its holder changes; `onRevoked` is called when
   * it is given up for others from then on.
   */
  complete(onRevoked: () => void = () => undefined): void {
    this.#account.complete(() => {
      this.#drop();
      onRevoked();
    });
  }

  /** Removes the first part; undefined if there is none. */
  takePart(): Buffer | undefined {
    return this.#blocks.takeBlock();
  }

  /** Gives back the memory of a part that the caller has read. */
  give(bytes: number): void {
    this.#reclaimer.recordReleased(bytes);
    this.#account.give(bytes);
  }

  /** Gives back all memory. */
  close(): void {
    if (this.#account.isClosed) return;
    this.#account.close();
    this.#drop();
  }

  #drop(): void {
    const { length } = this.#blocks;
    this.#blocks.clear();
    // Only now, since the collector may run at once.
    this.#reclaimer.recordReleased(length);
  }
}

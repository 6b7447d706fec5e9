import { type EventSourceParser, createParser } from 'eventsource-parser';
import { BlockBuffer, type MemoryAccount } from '../resources';

const LINE_FEED = '\n';

/** Data up to this size are not counted, so that turns of ordinary size leave the memory to bodies. */
const UNCOUNTED_BYTES = 16 * 1024;

/** Counts the server-sent events in a response, and collects their data byte for byte. */
export class EventDataCollector {
  readonly #parser: EventSourceParser;
  readonly #data = new BlockBuffer();
  readonly #account: MemoryAccount | undefined;
  #count = 0;

  /** Without an account for their memory, the data are not collected. */
  constructor(account: MemoryAccount | undefined) {
    this.#account = account;
    this.#parser = createParser({
      onEvent: ({ data }) => {
        this.#count += 1;
        if (account !== undefined) this.#collect(account, data);
      },
    });
  }

  push(chunk: Buffer): void {
    // Latin-1 maps each byte to one character, so that toBuffer() restores the exact bytes.
    this.#parser.feed(chunk.toString('latin1'));
  }

  /** Complete events. */
  get count(): number {
    return this.#count;
  }

  /** The data of each event, terminated by a line feed. */
  toBuffer(): Buffer {
    const isCopied = this.#data.isSplit && this.#data.length > UNCOUNTED_BYTES;
    if (isCopied) this.#account?.add(this.#data.length);
    return this.#data.toBuffer();
  }

  #collect(account: MemoryAccount, data: string): void {
    this.#data.append(Buffer.from(data + LINE_FEED, 'latin1'));
    const { allocatedBytes } = this.#data;
    const added = (allocatedBytes > UNCOUNTED_BYTES ? allocatedBytes : 0) - account.bytes;
    if (added > 0) account.add(added);
  }
}

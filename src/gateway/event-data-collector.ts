import { type EventSourceParser, createParser } from 'eventsource-parser';

const LINE_FEED = '\n';

/** Collects the data fields of the server-sent events in a response, byte for byte. */
export class EventDataCollector {
  readonly #parser: EventSourceParser;
  readonly #data: string[] = [];

  constructor() {
    this.#parser = createParser({
      onEvent: ({ data }) => {
        this.#data.push(data + LINE_FEED);
      },
    });
  }

  push(chunk: Buffer): void {
    // Latin-1 maps each byte to one character, so that toBuffer() restores the exact bytes.
    this.#parser.feed(chunk.toString('latin1'));
  }

  /** Complete events. */
  get count(): number {
    return this.#data.length;
  }

  /** The data of each event, terminated by a line feed. */
  toBuffer(): Buffer {
    return Buffer.from(this.#data.join(''), 'latin1');
  }
}

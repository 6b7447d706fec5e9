import { type EventSourceParser, createParser } from 'eventsource-parser';

const LINE_FEED = '\n';

/** Collects the data of the events of an answer that passes by, byte for byte. */
export class EventOutput {
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
    // One character a byte, so that the bytes come out as they went in.
    this.#parser.feed(chunk.toString('latin1'));
  }

  /** Events that were whole. */
  get count(): number {
    return this.#data.length;
  }

  /** The data of each event with a line feed after it. */
  toBuffer(): Buffer {
    return Buffer.from(this.#data.join(''), 'latin1');
  }
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/**
 * Finds the ends of server-sent events in a stream that arrives in pieces of any size. Lines end with
 * LF, CRLF or CR, an event ends with a blank line, and comment lines between events belong to none
 * (WHATWG HTML, section 9.2.5).
 */
export class EventBoundary {
  #events = 0;
  /** Length of the present event and of the comments before it, as far as they have arrived. */
  #presentBytes = 0;
  #longestBytes = 0;
  #isLineEmpty = true;
  #isComment = false;
  #hasFields = false;
  #endsWithCarriageReturn = false;
  /** Whether a line ended with CRLF, so that a CR at the end of the stream is half a line end. */
  #usesLineFeedPairs = false;

  push(chunk: Buffer): void {
    const hasCarriageReturn = chunk.includes(CARRIAGE_RETURN);
    let position = this.#skipLineFeed(chunk, 0);
    while (position < chunk.length) {
      const end = findLineEnd(chunk, position, hasCarriageReturn);
      if (end !== position) this.#extendLine(chunk[position], end - position);
      if (end === chunk.length) return;
      this.#endLine();
      this.#endsWithCarriageReturn = chunk[end] === CARRIAGE_RETURN;
      position = this.#skipLineFeed(chunk, end + 1);
    }
  }

  /** Events that ended with a blank line. */
  get events(): number {
    return this.#events;
  }

  /** Length of the longest event, which may not have ended, with the comments before it. */
  get longestEventBytes(): number {
    return this.#longestBytes;
  }

  /** Whether the stream has begun an event, or a line, that has not ended. */
  get isInsideEvent(): boolean {
    const isLineEndPartial = this.#endsWithCarriageReturn && this.#usesLineFeedPairs;
    return this.#hasFields || !this.#isLineEmpty || isLineEndPartial;
  }

  /** Skips the second half of a CRLF, which may arrive in the next piece. */
  #skipLineFeed(chunk: Buffer, position: number): number {
    if (!this.#endsWithCarriageReturn || position >= chunk.length) return position;
    this.#endsWithCarriageReturn = false;
    if (chunk[position] !== LINE_FEED) return position;
    this.#usesLineFeedPairs = true;
    return position + 1;
  }

  #extendLine(firstByte: number | undefined, length: number): void {
    if (this.#isLineEmpty) this.#isComment = firstByte === COLON;
    this.#isLineEmpty = false;
    this.#presentBytes += length;
    this.#longestBytes = Math.max(this.#longestBytes, this.#presentBytes);
  }

  #endLine(): void {
    if (!this.#isLineEmpty) {
      if (!this.#isComment) this.#hasFields = true;
    } else if (this.#hasFields) {
      this.#events += 1;
      this.#presentBytes = 0;
      this.#hasFields = false;
    }
    this.#isLineEmpty = true;
  }
}

/** Position of the next CR or LF, or the length of the chunk. */
function findLineEnd(chunk: Buffer, position: number, hasCarriageReturn: boolean): number {
  const lineFeed = chunk.indexOf(LINE_FEED, position);
  const end = lineFeed < 0 ? chunk.length : lineFeed;
  if (!hasCarriageReturn) return end;
  const carriageReturn = chunk.subarray(position, end).indexOf(CARRIAGE_RETURN);
  return carriageReturn < 0 ? end : position + carriageReturn;
}

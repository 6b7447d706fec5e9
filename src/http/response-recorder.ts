import type { IncomingHttpHeaders } from 'node:http';
import type { ConnectionEnding } from './connection-ending';
import { EventBoundary } from './event-boundary';
import { type ResponseFraming, framingOf, isEventStream } from './response-framing';

/** How a response arrived, from which its completeness is decided. */
export interface ResponseRecord {
  readonly framing: ResponseFraming;
  readonly ending: ConnectionEnding;
  /** Length of the body. */
  readonly bytes: number;
  /** Undefined unless the body is a stream of events. */
  readonly eventStream: EventStreamRecord | undefined;
}

export interface EventStreamRecord {
  /** Complete events. */
  readonly events: number;
  /** Whether the body ends inside an event. */
  readonly endsInsideEvent: boolean;
}

export interface ResponseRecorderOptions {
  readonly headers: IncomingHttpHeaders;
  /** Whether a response without a content type is a stream of events. */
  readonly expectsEventStream?: boolean;
}

/** Records how a response arrives; does not keep its body. */
export class ResponseRecorder {
  readonly #framing: ResponseFraming;
  readonly #boundary: EventBoundary | undefined;
  #bytes = 0;

  constructor({ headers, expectsEventStream = false }: ResponseRecorderOptions) {
    this.#framing = framingOf(headers);
    const isUntypedStream = expectsEventStream && headers['content-type'] === undefined;
    this.#boundary = isUntypedStream || isEventStream(headers) ? new EventBoundary() : undefined;
  }

  push(chunk: Buffer): void {
    this.#bytes += chunk.length;
    this.#boundary?.push(chunk);
  }

  record(ending: ConnectionEnding): ResponseRecord {
    const boundary = this.#boundary;
    const eventStream =
      boundary === undefined
        ? undefined
        : { events: boundary.events, endsInsideEvent: boundary.isInsideEvent };
    return { framing: this.#framing, ending, bytes: this.#bytes, eventStream };
  }
}

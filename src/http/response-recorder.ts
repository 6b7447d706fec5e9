import type { IncomingHttpHeaders } from 'node:http';
import type { ConnectionEnding } from './connection-ending';
import { EventBoundary } from './event-boundary';
import { type ResponseFraming, framingOf, isEventStream } from './response-framing';
import {
  type ResponseLimit,
  type ResponseLimits,
  describeExceededLimit,
  findExceededLimit,
  resolveResponseLimits,
} from './response-limits';

/** How a response arrived, from which its completeness is decided. */
export interface ResponseRecord {
  readonly framing: ResponseFraming;
  readonly ending: ConnectionEnding;
  /** Length of the body. */
  readonly bytes: number;
  /** Undefined unless the body is a stream of events. */
  readonly eventStream: EventStreamRecord | undefined;
  /** The limit that the response exceeds; undefined if it exceeds none. */
  readonly exceeded: ResponseLimit | undefined;
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
  readonly limits?: Partial<ResponseLimits> | undefined;
}

/** Records how a response arrives; does not keep its body. */
export class ResponseRecorder {
  readonly #framing: ResponseFraming;
  readonly #boundary: EventBoundary | undefined;
  readonly #limits: ResponseLimits;
  #bytes = 0;
  #exceeded: ResponseLimit | undefined;

  constructor({ headers, expectsEventStream = false, limits }: ResponseRecorderOptions) {
    this.#limits = resolveResponseLimits(limits);
    this.#framing = framingOf(headers);
    const isUntypedStream = expectsEventStream && headers['content-type'] === undefined;
    this.#boundary = isUntypedStream || isEventStream(headers) ? new EventBoundary() : undefined;
  }

  push(chunk: Buffer): void {
    this.#bytes += chunk.length;
    const boundary = this.#boundary;
    boundary?.push(chunk);
    const progress = {
      bodyBytes: this.#bytes,
      events: boundary?.events ?? 0,
      eventBytes: boundary?.longestEventBytes ?? 0,
    };
    this.#exceeded ??= findExceededLimit(progress, this.#limits);
  }

  /** Why the response must be broken off; undefined while it is within its limits. */
  get excess(): string | undefined {
    return this.#exceeded && describeExceededLimit(this.#exceeded, this.#limits);
  }

  record(ending: ConnectionEnding): ResponseRecord {
    const boundary = this.#boundary;
    const eventStream =
      boundary === undefined
        ? undefined
        : { events: boundary.events, endsInsideEvent: boundary.isInsideEvent };
    const exceeded = this.#exceeded;
    return { framing: this.#framing, ending, bytes: this.#bytes, eventStream, exceeded };
  }
}

import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';

/** Bytes besides the body that a response may take, such as its head and informational responses. */
const FRAMING_LIMIT_BYTES = 1024 * 1024;

/** Bytes that a connection may take for each byte of the body; chunks of one byte take six. */
const MAX_BYTES_PER_BODY_BYTE = 16;

/** A response takes far more bytes than its body has. */
export class FramingExcessError extends Error {
  constructor(receivedBytes: number, bodyBytes: number) {
    super(`${receivedBytes} bytes received for a body of ${bodyBytes} bytes`);
  }
}

export interface FramingGuardOptions {
  readonly handler: Dispatcher.DispatchHandler;
  /** Called once, before the response fails with {@link FramingExcessError}. */
  readonly onExcess: () => void;
}

/**
 * Fails a response whose framing does not end. The HTTP client bounds a head, but reads chunk
 * extensions (RFC 9112, section 7.1.1) and informational responses of any length without a word to
 * its handler.
 */
export class FramingGuard implements Dispatcher.DispatchHandler {
  readonly #options: FramingGuardOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #bodyBytes = 0;
  #hasEnded = false;

  constructor(options: FramingGuardOptions) {
    this.#options = options;
  }

  /** Takes the bytes into account that the connection has received since the request was sent. */
  check(receivedBytes: number): void {
    const controller = this.#controller;
    const limit = FRAMING_LIMIT_BYTES + MAX_BYTES_PER_BODY_BYTE * this.#bodyBytes;
    if (this.#hasEnded || controller === undefined || receivedBytes <= limit) return;
    this.#hasEnded = true;
    this.#options.onExcess();
    controller.abort(new FramingExcessError(receivedBytes, this.#bodyBytes));
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.#controller = controller;
    this.#options.handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    message?: string,
  ): void {
    this.#options.handler.onResponseStart?.(controller, status, headers, message);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    this.#options.handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.#hasEnded = true;
    this.#options.handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    this.#hasEnded = true;
    this.#options.handler.onResponseError?.(controller, error);
  }
}

import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Readable, Transform, pipeline } from 'node:stream';
import { pipeline as pipelineAsync } from 'node:stream/promises';
import { MartenbayError } from '../core';
import { breakOff } from './break-off';
import { findIncompleteness } from './completeness';
import { ConnectionMonitor } from './connection-ending';
import { type ResponseRecord, ResponseRecorder } from './response-recorder';

/** A response ended before it was complete. */
export class IncompleteResponseError extends MartenbayError {
  readonly response: ResponseRecord;

  constructor(reason: string, response: ResponseRecord) {
    super([{ code: 'incomplete_response', path: [], message: reason }]);
    this.response = response;
  }
}

/**
 * Passes on the body of a response whose headers have just arrived. It fails with
 * {@link IncompleteResponseError} at its end if the response is not complete, and with the error of
 * the HTTP client if that finds one earlier.
 */
export function checkedBody(response: IncomingMessage): Readable {
  const recorder = new ResponseRecorder({ headers: response.headers });
  const monitor = ConnectionMonitor.of(response.socket);
  const body = new Transform({
    transform(chunk: Buffer, _encoding, callback) {
      recorder.push(chunk);
      callback(null, chunk);
    },
    flush(callback) {
      const record = recorder.record(monitor.ending);
      const reason = findIncompleteness(record);
      callback(reason === undefined ? null : new IncompleteResponseError(reason, record));
    },
  });
  // An error of the response destroys the body, whose reader handles it.
  pipeline(response, body, () => undefined);
  return body;
}

/** Sends a body as that of `response`, which is broken off if the body fails. */
export function forwardBody(body: Readable, response: ServerResponse): Promise<void> {
  body.once('error', () => {
    breakOff(response);
  });
  return pipelineAsync(body, response);
}

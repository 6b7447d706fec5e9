import type { ServerResponse } from 'node:http';
import { type Clock, repeat } from '../core';
import { UNREAD_RESPONSE_MILLISECONDS } from '../http';
import type { ReceivedBody } from './received-body';

export interface BodyWriterOptions {
  readonly response: ServerResponse;
  readonly clock: Clock;
}

/**
 * Ends a response with a body, each part of which is written once the one before has been handed to
 * the operating system and its memory given back. Resolves when the last part is being written, or
 * the connection is closed, which it is if the caller stops reading.
 */
export async function writeBody(
  body: ReceivedBody,
  { response, clock }: BodyWriterOptions,
): Promise<void> {
  let hasProgress = true;
  const cancel = repeat(clock, UNREAD_RESPONSE_MILLISECONDS, () => {
    if (!hasProgress) response.destroy();
    hasProgress = false;
  });
  let part = body.takePart();
  while (body.length > 0 && part !== undefined && (await writePart(response, part))) {
    hasProgress = true;
    body.give(part.length);
    part = body.takePart();
  }
  cancel();
  if (!response.destroyed) response.end(part);
}

/** Resolves with false if the connection is closed before the part was written. */
function writePart(response: ServerResponse, part: Buffer): Promise<boolean> {
  return new Promise((resolve) => {
    const onClose = () => {
      resolve(false);
    };
    response.once('close', onClose);
    response.write(part, (error) => {
      response.off('close', onClose);
      resolve(!error);
    });
  });
}

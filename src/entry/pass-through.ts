import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { request } from 'undici';
import type { Service } from '../configuration';
import { formatAddress, messageOf } from '../core';
import type { EntryContext } from './context';
import { Refusal, notRun } from './refusal';

/** A request for a service that has not moved to martenbay. */
export interface PassThroughRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Path and query at the old address. */
  readonly path: string;
}

/** Headers of one connection, which are not sent on. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'host',
  'content-length',
  'transfer-encoding',
  'upgrade',
  'te',
  'trailer',
  'expect',
]);

/** Removes the headers that belong to one connection. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const kept = Object.entries(headers).filter(
    (entry): entry is [string, string | string[]] =>
      entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]),
  );
  return Object.fromEntries(kept);
}

/** Sends a request on to the service's old address and its answer back, untouched. */
export async function passThrough(
  context: EntryContext,
  service: Service,
  exchange: PassThroughRequest,
): Promise<void> {
  const address = service['old-address'];
  if (service.adoption === 'not-ours' || address === undefined) {
    throw notRun(404, 'not-ours', `service "${service.name}" is not served here`);
  }
  const { incoming, response, body, path } = exchange;
  context.logger.info({
    event: 'decision',
    kind: 'routing',
    service: service.name,
    candidates: [],
    choice: formatAddress(address),
    reason: 'pass-through',
  });
  try {
    const answer = await request(`http://${formatAddress(address)}${path}`, {
      method: incoming.method ?? 'GET',
      headers: endToEndHeaders(incoming.headers),
      body: body.length === 0 ? null : body,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    response.writeHead(answer.statusCode, endToEndHeaders(answer.headers));
    await pipeline(answer.body, response);
  } catch (error) {
    const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    throw new Refusal({
      status: 502,
      code: 'target-failed',
      message: `the old address of "${service.name}" gave no answer: ${messageOf(error)}`,
      outcome: refused ? 'not-run' : 'unknown',
      cause: error,
    });
  }
}

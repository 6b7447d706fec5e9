import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Service } from '../configuration';
import { formatAddress, messageOf } from '../core';
import { forwardBody } from '../http';
import { type EntryContext, refusalIfStopEndsBefore } from './context';
import { Refusal, notRunRefusal, stoppingRefusal } from './refusal';

/** A request for a service that martenbay does not manage yet. */
export interface PassThroughRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Path and query to request at the service's `old-address`. */
  readonly path: string;
  /** Time until which the caller waits, in milliseconds of the monotonic clock. */
  readonly deadline: number;
}

/**
 * Headers that are not forwarded: those of a single connection (RFC 9110, section 7.6.1), and those
 * that the HTTP client sets itself.
 */
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

/** Removes the headers that are not forwarded. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const forwarded = Object.entries(headers).filter(
    (entry): entry is [string, string | string[]] =>
      entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]),
  );
  return Object.fromEntries(forwarded);
}

/** Proxies a request to the service's `old-address` without recording it. */
export async function passThrough(
  context: EntryContext,
  service: Service,
  exchange: PassThroughRequest,
): Promise<void> {
  const address = service['old-address'];
  if (service.adoption === 'not-ours' || address === undefined) {
    throw notRunRefusal(404, 'not-ours', `service "${service.name}" is not served here`);
  }
  const { incoming, response, body, path, deadline } = exchange;
  // Whether the call may be repeated is not known.
  const stopRefusal = refusalIfStopEndsBefore(context, deadline);
  if (stopRefusal !== undefined) throw stopRefusal;
  context.logger.info({
    event: 'decision',
    kind: 'routing',
    service: service.name,
    candidates: [],
    choice: formatAddress(address),
    reason: 'pass-through',
  });
  try {
    const headers = endToEndHeaders(incoming.headers);
    const upstream = await context.oldAddresses.send({
      address,
      method: incoming.method ?? 'GET',
      path,
      headers: body.length === 0 ? headers : { ...headers, 'content-length': String(body.length) },
      body,
      // A new connection that is refused proves that the call did not run.
      freshConnection: true,
      signal: context.stop.signal,
    });
    response.writeHead(upstream.status, endToEndHeaders(upstream.headers));
    await forwardBody(upstream.body, response);
  } catch (error) {
    if (context.stop.signal.aborted) throw stoppingRefusal('unknown', error, 504);
    const connectionRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    throw new Refusal({
      status: 502,
      code: 'target-failed',
      message: `the old address of "${service.name}" gave no answer: ${messageOf(error)}`,
      outcome: connectionRefused ? 'not-run' : 'unknown',
      cause: error,
    });
  }
}

import type { Route, RouteTable } from '../routes';
import type { PlacementRequest } from '../targets';
import { endWithoutBody } from './body-refusal';
import type { Exchange } from './exchange';
import type { Forwarder } from './forwarder';
import type { QuotaGate } from './quota-gate';
import { RequestHolds } from './request-holds';

export interface CallHandlerOptions {
  readonly forwarder: Forwarder;
  readonly quotaGate: QuotaGate;
}

/** Forwards a request to a target and buffers its response. */
export async function handleCall(
  options: CallHandlerOptions,
  exchange: Exchange,
  route: Route,
  table: RouteTable,
): Promise<void> {
  const holds = new RequestHolds();
  try {
    await forwardCall(options, { exchange, route, table, holds });
  } finally {
    holds.close();
  }
}

interface Call {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly table: RouteTable;
  readonly holds: RequestHolds;
}

async function forwardCall(
  { forwarder, quotaGate }: CallHandlerOptions,
  { exchange, route, table, holds }: Call,
): Promise<void> {
  const admission = quotaGate.requestAdmission(exchange, false);
  holds.add(() => {
    admission.refund();
  });
  const body = await exchange.readBody(table.configuration.limits.bodyBytes);
  if (typeof body === 'string') {
    endWithoutBody(exchange, body);
    return;
  }
  const refusal = await admission.refusal();
  if (refusal !== undefined) {
    exchange.refuse(refusal);
    return;
  }
  const outcome = await forwarder.forward({
    exchange,
    route,
    table,
    body: body.length > 0 ? body : null,
    input: body,
    placement: placementOf(exchange),
    onAttempt: () => {
      holds.markAttempted();
    },
  });
  if (outcome.kind === 'answered') {
    await exchange.respond(outcome.status, outcome.headers, outcome.body);
    return;
  }
  if (outcome.kind !== 'streamed' && outcome.isNotRun) holds.release();
  if (outcome.kind === 'refused') exchange.refuse(outcome.refusal);
  else exchange.log('gone');
}

/** Placement of a request that continues no turn. */
export function placementOf({ head }: Exchange): PlacementRequest {
  const { parts, promptTokens } = head;
  return { parts, promptTokens, lastTarget: undefined, cachedTokens: 0 };
}

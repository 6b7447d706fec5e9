import type { Configuration, Service } from '../configuration';
import type { RoutingRequest } from '../routing';
import type { EntryContext } from './context';
import type { AvailableTarget, TargetQuery } from './directory';
import { notRunRefusal } from './refusal';

export interface RouteRequest extends RoutingRequest, TargetQuery {
  readonly sequence: number;
  /** Counts from 1. */
  readonly attemptNumber: number;
}

/** Selects a target by the routing policy and logs the decision; refuses if none is available. */
export function chooseTarget(
  context: EntryContext,
  configuration: Configuration,
  service: Service,
  request: RouteRequest,
): AvailableTarget {
  const available = context.directory.available(configuration, service, request);
  const choice = context.policy.choose(
    request,
    available.map((target) => target.candidate),
  );
  context.logger.info({
    event: 'decision',
    kind: 'routing',
    policy: context.policy.name,
    service: service.name,
    program: request.program,
    sequence: request.sequence,
    try: request.attemptNumber,
    candidates: choice.candidates,
    choice: choice.target ?? null,
    reason: choice.reason,
  });
  context.metrics.count(`decisions_total{reason="${choice.reason}"}`);
  const chosen = available.find((target) => target.target.name === choice.target);
  if (chosen !== undefined) return chosen;
  throw notRunRefusal(
    503,
    'no-target',
    `no target of service "${service.name}" can take the call now`,
  );
}

import type { Configuration, Service } from '../configuration';
import type { RoutingRequest } from '../routing';
import type { EntryContext } from './context';
import type { KnownTarget } from './directory';
import { notRun } from './refusal';

/** A call that needs a target. */
export interface RouteRequest extends RoutingRequest {
  readonly sequence: number;
  readonly try: number;
  /** Targets that this call was refused by or failed at. */
  readonly excluded: ReadonlySet<string>;
}

/** Chooses a target by the policy and logs the decision; refuses when there is none. */
export function chooseTarget(
  context: EntryContext,
  configuration: Configuration,
  service: Service,
  request: RouteRequest,
): KnownTarget {
  const available = context.directory.available(configuration, service, request.excluded);
  const choice = context.policy.choose(
    request,
    available.map((known) => known.candidate),
  );
  context.logger.info({
    event: 'decision',
    kind: 'routing',
    policy: context.policy.name,
    service: service.name,
    program: request.program,
    sequence: request.sequence,
    try: request.try,
    candidates: choice.candidates,
    choice: choice.target ?? null,
    reason: choice.reason,
  });
  context.metrics.count(`decisions_total{reason="${choice.reason}"}`);
  const chosen = available.find((known) => known.target.name === choice.target);
  if (chosen !== undefined) return chosen;
  throw notRun(503, 'no-target', `no target of service "${service.name}" can take the call now`);
}

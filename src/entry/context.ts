import type { IncomingMessage } from 'node:http';
import type { Configuration, ActiveConfiguration } from '../configuration';
import {
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Timeout,
  startTimeout,
} from '../core';
import type { HttpClient } from '../http';
import { type ControlClient, ControlUnavailableError, type RunOutcome } from '../protocol';
import type { ResponseMemory } from '../resources';
import type { RoutingPolicy } from '../routing';
import type { EntrySettings } from '../settings';
import type { TargetDirectory } from './directory';
import { Refusal, notRunRefusal, stoppingRefusal } from './refusal';
import type { ProgramIdGenerator } from './program-ids';
import { type RequestStop, StoppingError } from './request-stop';
import { readBody } from './request';
import type { SidecarClient } from './sidecar-client';

/** Dependencies shared by the request handlers of an entry. */
export interface EntryContext {
  /** Host name and incarnation, separated by a slash. */
  readonly identity: string;
  readonly settings: EntrySettings['entry'];
  readonly configuration: ActiveConfiguration;
  readonly control: ControlClient;
  readonly directory: TargetDirectory;
  readonly sidecars: SidecarClient;
  /** Memory of the answers that arrive from targets. */
  readonly responseMemory: ResponseMemory;
  /** Calls the existing deployments of pass-through services. */
  readonly oldAddresses: HttpClient;
  readonly programIds: ProgramIdGenerator;
  readonly policy: RoutingPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly stop: RequestStop;
}

/** Returns the active configuration, or throws a refusal when none is known yet. */
export function requireConfiguration(context: EntryContext): Configuration {
  const { current } = context.configuration;
  if (current === undefined) {
    throw notRunRefusal(503, 'control-unavailable', 'no configuration is in force yet');
  }
  return current;
}

/**
 * Starts a signal that aborts at `deadline`, in milliseconds of the monotonic clock, or when a planned
 * stop ends the requests in flight.
 */
export function startDeadline({ clock, stop }: EntryContext, deadline: number): Timeout {
  const { controller, cancel } = startTimeout(clock, deadline - clock.monotonic());
  const { signal } = stop;
  const onStop = () => {
    controller.abort(signal.reason);
  };
  if (signal.aborted) onStop();
  else signal.addEventListener('abort', onStop, { once: true });
  const cancelBoth = () => {
    cancel();
    signal.removeEventListener('abort', onStop);
  };
  return { controller, cancel: cancelBoth };
}

/**
 * Refuses work that a planned stop might end before `deadline`, in milliseconds of the monotonic clock.
 * For work that can't be repeated, or whose answer would be broken off.
 */
export function refusalIfStopEndsBefore(
  { clock, stop }: EntryContext,
  deadline: number,
): Refusal | undefined {
  const canComplete = stop.canComplete(deadline - clock.monotonic());
  return canComplete ? undefined : stoppingRefusal('not-run');
}

/** Reads the body of a request, which has not run before that. */
export async function receiveBody(
  { settings, stop }: EntryContext,
  request: IncomingMessage,
): Promise<Buffer> {
  try {
    return await stop.settleBeforeEnd(readBody(request, settings['body-limit-bytes']));
  } catch (error) {
    if (error instanceof StoppingError) throw stoppingRefusal('not-run', error);
    throw error;
  }
}

/**
 * Runs a control call; {@link ControlUnavailableError}, or the end of a planned stop, becomes a refusal
 * with `outcome`.
 */
export async function callControl<T>(
  { stop }: EntryContext,
  outcome: RunOutcome,
  call: () => Promise<T>,
): Promise<T> {
  try {
    return await stop.settleBeforeEnd(call());
  } catch (error) {
    if (error instanceof StoppingError) throw stoppingRefusal(outcome, error);
    if (!(error instanceof ControlUnavailableError)) throw error;
    const message = 'the control hosts gave no answer';
    throw new Refusal({ status: 503, code: 'control-unavailable', message, outcome, cause: error });
  }
}

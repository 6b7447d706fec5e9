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
import { type ControlClient, ControlUnavailableError } from '../protocol';
import type { RoutingPolicy } from '../routing';
import type { EntrySettings } from '../settings';
import type { TargetDirectory } from './directory';
import { Refusal, notRunRefusal } from './refusal';
import type { ProgramIdGenerator } from './program-ids';
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
  /** Calls the existing deployments of pass-through services. */
  readonly oldAddresses: HttpClient;
  readonly programIds: ProgramIdGenerator;
  readonly policy: RoutingPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the process is draining its requests before it stops. */
  readonly isDraining: () => boolean;
}

/** Returns the active configuration, or throws a refusal when none is known yet. */
export function requireConfiguration(context: EntryContext): Configuration {
  const { current } = context.configuration;
  if (current === undefined) {
    throw notRunRefusal(503, 'control-unavailable', 'no configuration is in force yet');
  }
  return current;
}

/** Starts a signal that aborts at `deadline`, in milliseconds of the monotonic clock. */
export function startDeadline(clock: Clock, deadline: number): Timeout {
  return startTimeout(clock, deadline - clock.monotonic());
}

/** Runs a control call; {@link ControlUnavailableError} becomes a refusal with `outcome`. */
export async function callControl<T>(
  outcome: 'not-run' | 'unknown',
  call: () => Promise<T>,
): Promise<T> {
  try {
    return await call();
  } catch (error) {
    if (!(error instanceof ControlUnavailableError)) throw error;
    const message = 'the control hosts gave no answer';
    throw new Refusal({ status: 503, code: 'control-unavailable', message, outcome, cause: error });
  }
}

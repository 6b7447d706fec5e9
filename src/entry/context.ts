import type { Configuration, ConfigurationInForce } from '../configuration';
import {
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Timeout,
  startTimeout,
} from '../core';
import { type ControlClient, ControlUnavailableError } from '../protocol';
import type { RoutingPolicy } from '../routing';
import type { EntrySettings } from '../settings';
import type { TargetDirectory } from './directory';
import { Refusal, notRun } from './refusal';
import type { ProgramIds } from './program-ids';
import type { SidecarClient } from './sidecar-client';

/** What the handlers of an entry share. */
export interface EntryContext {
  /** This process, as name/incarnation. */
  readonly identity: string;
  readonly settings: EntrySettings['entry'];
  readonly configuration: ConfigurationInForce;
  readonly control: ControlClient;
  readonly directory: TargetDirectory;
  readonly sidecars: SidecarClient;
  readonly programIds: ProgramIds;
  readonly policy: RoutingPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether the process finishes its last calls. */
  readonly isStopping: () => boolean;
}

/** The configuration in force; without one nothing is served. */
export function configurationOf(context: EntryContext): Configuration {
  const { current } = context.configuration;
  if (current === undefined) {
    throw notRun(503, 'control-unavailable', 'no configuration is in force yet');
  }
  return current;
}

/** Starts a signal that aborts at a monotonic time. */
export function startDeadline(clock: Clock, deadline: number): Timeout {
  return startTimeout(clock, deadline - clock.monotonic());
}

/** Runs a call to the leader, turning its failure into a refusal with the given outcome. */
export async function askControl<T>(
  outcome: 'not-run' | 'unknown',
  ask: () => Promise<T>,
): Promise<T> {
  try {
    return await ask();
  } catch (error) {
    if (!(error instanceof ControlUnavailableError)) throw error;
    const message = 'the control hosts gave no answer';
    throw new Refusal({ status: 503, code: 'control-unavailable', message, outcome, cause: error });
  }
}

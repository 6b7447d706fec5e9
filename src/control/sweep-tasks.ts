import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { LogView } from '../replication';
import type { ControlSettings } from '../settings';
import type { ConfigurationStateMachine } from '../state';
import type { ProgramGroupReplica } from './group-log';
import { CHANGE_KEYS, type ChangeNotifier } from './change-notifier';
import type { NodeRegistry } from './node-registry';
import { sweepCommands } from './sweep-commands';

export interface ProgramSweepOptions {
  readonly settings: ControlSettings['control'];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: ProgramGroupReplica;
}

/** Ends expired programs and purges ended ones; does nothing unless this host leads the group. */
export function createProgramSweep(options: ProgramSweepOptions): Component {
  const { clock, settings } = options;
  return new PeriodicTask(clock, settings['sweep-milliseconds'], () => sweepPrograms(options));
}

async function sweepPrograms(options: ProgramSweepOptions): Promise<void> {
  const { settings, clock, logger, group } = options;
  if (!group.log.serves) return;
  const retention = settings['retention-seconds'] * 1000;
  for (const command of sweepCommands(group.machine.tables, clock.now(), retention)) {
    await group.log.propose(JSON.stringify(command)).catch((error: unknown) => {
      logger.warn({ event: 'sweep-failed', group: group.name, error: messageOf(error) });
    });
  }
}

export interface TargetSweepOptions {
  readonly intervalMilliseconds: number;
  readonly clock: Clock;
  readonly log: LogView;
  readonly machine: ConfigurationStateMachine;
  readonly registry: NodeRegistry;
  readonly notifier: ChangeNotifier;
}

/** Marks targets without a live sidecar session as lost, on the configuration group's leader. */
export function createTargetSweep(options: TargetSweepOptions): Component {
  const { intervalMilliseconds, clock, log, machine, registry, notifier } = options;
  return new PeriodicTask(clock, intervalMilliseconds, () => {
    if (!log.serves) return;
    const pools = machine.accepted?.configuration.pools ?? [];
    const targets = pools.flatMap((pool) => pool.targets.map((target) => target.name));
    if (registry.markLost(targets, clock.monotonic())) notifier.notify(CHANGE_KEYS.directory);
  });
}

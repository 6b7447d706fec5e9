import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { LogView } from '../replication';
import type { ControlSettings } from '../settings';
import type { ConfigurationStateMachine } from '../state';
import type { ProgramGroupMember } from './group';
import { CHANGE_KEYS, type Notifier } from './notifier';
import type { NodeRegistry } from './registry';
import { sweepCommands } from './sweep';

export interface ProgramSweepOptions {
  readonly settings: ControlSettings['control'];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: ProgramGroupMember;
}

/** Ends and forgets the programs of a group that this host leads. */
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
  readonly milliseconds: number;
  readonly clock: Clock;
  readonly log: LogView;
  readonly machine: ConfigurationStateMachine;
  readonly registry: NodeRegistry;
  readonly notifier: Notifier;
}

/** Notices targets whose sidecars fell silent, at the leader of the configuration. */
export function createTargetSweep(options: TargetSweepOptions): Component {
  const { milliseconds, clock, log, machine, registry, notifier } = options;
  return new PeriodicTask(clock, milliseconds, () => {
    if (!log.serves) return;
    const pools = machine.accepted?.configuration.pools ?? [];
    const targets = pools.flatMap((pool) => pool.targets.map((target) => target.name));
    if (registry.expire(targets, clock.monotonic())) notifier.notify(CHANGE_KEYS.directory);
  });
}

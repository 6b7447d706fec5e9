import { type Clock, type Component, type Logger, PeriodicTask, messageOf } from '../core';
import type { ReplicatedLog } from '../replication';
import type { ControlSettings } from '../settings';
import type { CommandResult, ProgramStateMachine } from '../state';
import type { Notifier } from './notifier';
import type { NodeRegistry } from './registry';
import { CHANGE_KEYS } from './service';
import { sweepCommands } from './sweep';

export interface SweeperOptions {
  readonly settings: ControlSettings['control'];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly log: ReplicatedLog<CommandResult>;
  readonly machine: ProgramStateMachine;
  readonly registry: NodeRegistry;
  readonly notifier: Notifier;
}

/** The leader's periodic work: silent sidecars, programs that end or are forgotten. */
export function createSweep(options: SweeperOptions): Component {
  const { clock, settings } = options;
  return new PeriodicTask(clock, settings['sweep-milliseconds'], () => sweep(options));
}

async function sweep(options: SweeperOptions): Promise<void> {
  const { settings, clock, logger, log, machine, registry, notifier } = options;
  if (!log.serves) return;
  const pools = machine.tables.accepted?.configuration.pools ?? [];
  const targets = pools.flatMap((pool) => pool.targets.map((target) => target.name));
  if (registry.expire(targets, clock.monotonic())) notifier.notify(CHANGE_KEYS.directory);
  const retention = settings['retention-seconds'] * 1000;
  for (const command of sweepCommands(machine.tables, clock.now(), retention)) {
    await log.propose(JSON.stringify(command)).catch((error: unknown) => {
      logger.warn({ event: 'sweep-failed', error: messageOf(error) });
    });
  }
}
